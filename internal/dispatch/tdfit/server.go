package tdfit

import (
	"math"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpace"
	"tarragondeal/internal/dispatch/tdreuse"
)

const (
	// initialRate is the assumed prefill rate of an engine, in prompt tokens
	// per millisecond, until it has been measured.
	initialRate = 40.0
	// minRate and maxRate bound the estimated prefill rate.
	minRate, maxRate = 2.0, 1000.0
	// rateWeight is the weight of a new sample of the rate.
	rateWeight = 0.1
	// minSampleTokens is the shortest prompt that gives a sample of the rate.
	minSampleTokens = 400
	// firstTokenOverhead is the time to the first event in addition to prefill.
	firstTokenOverhead = 12 * time.Millisecond
	// decodeStep is the time per token while no prompt is read.
	decodeStep = 5 * time.Millisecond
	// failureHalfLife is the half-life of a failure's weight.
	failureHalfLife = 4 * time.Second
	// heavyHalfLife is the half-life of a long prompt's weight on an engine.
	heavyHalfLife = 3 * time.Second
)

// decayingSum is a sum whose terms decay exponentially.
type decayingSum struct {
	value    float64
	at       tarragondeal.Instant
	halfLife time.Duration
}

func (d *decayingSum) now(now tarragondeal.Instant) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(d.halfLife))
}

func (d *decayingSum) add(now tarragondeal.Instant, v float64) {
	d.value = d.now(now) + v
	d.at = now
}

// use is the load that one node puts on a server.
type use struct {
	running int
	tight   int
	tokens  int
	failing bool
}

// server is the estimated state of one backend server.
type server struct {
	tarragondeal.Server
	engine       *tarragondeal.Engine // Nil for plain servers.
	cache        *promptCache
	held         *tdreuse.Cache // What it has cached, if its pool is shared; cache is used otherwise.
	own          use
	others       map[tarragondeal.NodeID]use
	useChanged   uint64               // Number of the last change of own, others or suspectUntil, as counted by Fit.
	prefilledAt  tarragondeal.Instant // When the prompts sent so far will have been read.
	heavyPrefill decayingSum          // Milliseconds of reading long prompts.
	rate         float64              // Prompt tokens read per millisecond.
	failures     decayingSum
	served       decayingSum
	backoffUntil tarragondeal.Instant // No requests are sent before.
	lastAnswer   tarragondeal.Instant // When it last answered a request of this node.
	suspectUntil tarragondeal.Instant // Until when it is reported to peers as failing.
	leaving      bool                 // It said so, whatever State is.
	evacuated    bool                 // Its data centre is.
	cold         coldState
	pausedUntil  tarragondeal.Instant // It accepts no requests of this node before.
	room         nodeRoom             // This node's part of its room, used while it is brittle.
	reported     reportedLoad         // The load that it reported last.
	pace         *tdpace.Engine       // Nil for plain servers.
}

func newServer(s tarragondeal.Server, e *tarragondeal.Engine, rate float64) *server {
	out := &server{
		Server: s, engine: e, others: make(map[tarragondeal.NodeID]use), rate: rate,
		heavyPrefill: decayingSum{halfLife: heavyHalfLife}, failures: decayingSum{halfLife: failureHalfLife}, served: decayingSum{halfLife: failureHalfLife},
	}
	if e != nil {
		out.cache, out.held = newPromptCache(e.KVTokens), tdreuse.NewCache()
	}
	return out
}

// isLive reports whether the server may get requests: it is listed as live, has not said that
// it is leaving, and its data centre is not evacuated.
func (s *server) isLive() bool {
	return s.State == tarragondeal.VMLive && !s.leaving && !s.evacuated
}

// peerUseTTL is how long the use that a peer reported counts.
const peerUseTTL = 3 * time.Second

// totalUse returns the load that all nodes put on the server.
func (f *Fit) totalUse(s *server, now tarragondeal.Instant) use {
	return f.sumUse(s, func(tarragondeal.NodeID) bool { return true }, now)
}

// sumUse returns the load on the server from this node and from the peers for
// which include returns true.
func (f *Fit) sumUse(s *server, include func(tarragondeal.NodeID) bool, now tarragondeal.Instant) use {
	t := s.ownUse(now)
	for node, u := range s.others {
		if now.Sub(f.lastHeard[node]) > peerUseTTL || !include(node) {
			continue
		}
		t.running += u.running
		t.tight += u.tight
		t.tokens += u.tokens
		t.failing = t.failing || u.failing
	}
	return t
}

// ownUse returns the load that this node puts on the server, as published to
// peers.
func (s *server) ownUse(now tarragondeal.Instant) use {
	u := s.own
	u.failing = now < s.suspectUntil
	return u
}

// slots returns how many requests the server runs at once.
func (s *server) slots() int {
	if s.engine != nil {
		return max(1, s.engine.Slots)
	}
	return max(1, s.Slots)
}

// prefillTime returns how long the engine takes to read tokens.
func (s *server) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.rate * float64(time.Millisecond))
}

// addPrompt records that the engine was sent a prompt. It returns how long the
// engine takes to read it.
func (s *server) addPrompt(now tarragondeal.Instant, p prompt, heavy bool) time.Duration {
	took := s.prefillTime(p.fresh)
	s.prefilledAt = max(s.prefilledAt, now).Add(took)
	if heavy {
		s.heavyPrefill.add(now, took.Seconds()*1000)
	}
	return took
}

// prompt is a prompt that was sent to an engine.
type prompt struct {
	prefixes []prefix
	fresh    int // Tokens that the engine must read.
}

// tokens returns the length of the prompt, as far as it is known.
func (p *prompt) tokens() int {
	n := 0
	for _, x := range p.prefixes {
		n += x.Tokens
	}
	return max(n, p.fresh)
}

// backlog returns how long the engine takes to read the prompts it was sent.
func (s *server) backlog(now tarragondeal.Instant) time.Duration {
	return max(0, s.prefilledAt.Sub(now))
}

// trimBacklog limits the backlog of an engine of an adaptive pool to the prompts of the requests that
// have not ended there. Under overload, requests end at their deadlines before the engine has
// read their prompts.
func (f *Fit) trimBacklog(s *server) {
	if s.engine == nil || !f.isAdaptive(s.Pool) {
		return
	}
	now := f.Clock.Now()
	most := now.Add(s.prefillTime(max(0, f.totalUse(s, now).tokens)))
	s.prefilledAt = min(s.prefilledAt, most)
}

// learnRate updates the prefill rate from the time to the first event of a
// prompt that had no backlog before it.
func (s *server) learnRate(fresh int, took time.Duration) {
	if fresh < minSampleTokens || took <= firstTokenOverhead {
		return
	}
	sample := float64(fresh) / ((took - firstTokenOverhead).Seconds() * 1000)
	s.rate = min(maxRate, max(minRate, s.rate+rateWeight*(sample-s.rate)))
}

// silentSince reports whether the server has answered no request of this node
// since sent.
func (s *server) silentSince(sent tarragondeal.Instant) bool { return s.lastAnswer < sent }

// failureShare returns the share of recent requests that failed at the server.
// The added 1 keeps it low while there are few.
func (s *server) failureShare(now tarragondeal.Instant) float64 {
	f := s.failures.now(now)
	return f / (f + s.served.now(now) + 1)
}
