package tdfit

import (
	"errors"
	"slices"
	"testing"
	"time"

	"tarragondeal"
)

// silenceTest is a node whose requests get no answer.
type silenceTest struct {
	*testFit
	list []tarragondeal.Server
}

func newSilenceTest() *silenceTest {
	s := &silenceTest{testFit: newTestFit(0)}
	for _, id := range []tarragondeal.ServerID{"a", "b", "c", "d"} {
		s.list = append(s.list, tarragondeal.Server{
			ID: id, Pool: "p", DataCentre: "a", State: tarragondeal.VMLive, Slots: 6, StartedAt: time.UnixMilli(1_000_000),
		})
	}
	s.SetServers(s.list)
	return s
}

func (s *silenceTest) pass(d time.Duration) { s.clock.now = s.clock.now.Add(d) }

// change lists the servers again, with the one of a grant changed, or without it if change
// is nil.
func (s *silenceTest) change(g tarragondeal.Grant, change func(*tarragondeal.Server)) {
	n := slices.IndexFunc(s.list, func(x tarragondeal.Server) bool { return x.ID == g.Server.ID })
	if change == nil {
		s.list = slices.Delete(s.list, n, n+1)
	} else {
		change(&s.list[n])
	}
	s.SetServers(slices.Clone(s.list))
}

// serve lets the server of a grant answer another request.
func (s *silenceTest) serve(t *testing.T, g tarragondeal.Grant) {
	t.Helper()
	other := tarragondeal.Ask{Pools: []string{"p"}, Fingerprint: 1, Target: time.Second}
	for _, x := range s.list {
		if x.ID != g.Server.ID {
			other.Avoid = append(other.Avoid, x.ID)
		}
	}
	answered, err := s.reserve(other)
	if err != nil {
		t.Fatal(err)
	}
	s.pass(10 * time.Millisecond)
	s.Done(answered, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
}

// TestRequestThatSilencesServers guards against a request that is sent to one server after
// the other, each of which crashes and sends nothing, and against one that is refused
// although its servers were only slow, cut off or leaving.
func TestRequestThatSilencesServers(t *testing.T) {
	restart := func(x *tarragondeal.Server) { x.StartedAt = x.StartedAt.Add(time.Minute) }
	for _, c := range []struct {
		name   string
		kind   tarragondeal.OutcomeKind
		after  func(t *testing.T, s *silenceTest, g tarragondeal.Grant)
		refuse bool
	}{
		{"late, the server is gone", tarragondeal.OutcomeLate, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) { s.change(g, nil) }, true},
		{"timed out, the server is gone", tarragondeal.OutcomeWrong, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) { s.change(g, nil) }, true},
		{"the caller gave up, the server is gone", tarragondeal.OutcomeCancelled, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) { s.change(g, nil) }, true},
		{"the server has started again", tarragondeal.OutcomeLate, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) { s.change(g, restart) }, true},
		{"the server lives", tarragondeal.OutcomeLate, func(*testing.T, *silenceTest, tarragondeal.Grant) {}, false},
		{"the server was gone before", tarragondeal.OutcomeUnused, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) { s.change(g, nil) }, false},
		{"the server answers others, then it is gone", tarragondeal.OutcomeLate, func(t *testing.T, s *silenceTest, g tarragondeal.Grant) {
			s.serve(t, g)
			s.change(g, nil)
		}, false},
		{"the server said that it leaves", tarragondeal.OutcomeLate, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) {
			s.change(g, func(x *tarragondeal.Server) { x.State = tarragondeal.VMLeaving })
			s.change(g, nil)
		}, false},
		{"the server said so in an answer", tarragondeal.OutcomeLate, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) {
			s.ObserveLeaving(g.Server, "other")
			s.change(g, nil)
		}, false},
		{"the entry expired and is back", tarragondeal.OutcomeLate, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) {
			before := slices.Clone(s.list)
			s.change(g, nil)
			s.pass(time.Second)
			s.list = before
			s.SetServers(slices.Clone(before))
		}, false},
		{"the server ends long after", tarragondeal.OutcomeLate, func(_ *testing.T, s *silenceTest, g tarragondeal.Grant) {
			s.pass(time.Minute)
			s.change(g, restart)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSilenceTest()
			ask := tarragondeal.Ask{Pools: []string{"p"}, Fingerprint: 42}
			for range 2 {
				g, err := s.reserve(ask)
				if err != nil {
					t.Fatal(err)
				}
				s.pass(1500 * time.Millisecond)
				s.Done(g, tarragondeal.Outcome{Kind: c.kind})
				s.pass(2 * time.Second)
				c.after(t, s, g)
				s.pass(100 * time.Millisecond)
			}
			if refused := s.refuses(ask); refused != c.refuse {
				t.Errorf("refused: %t", refused)
			}
			if _, err := s.reserve(tarragondeal.Ask{Pools: []string{"p"}, Fingerprint: 43}); err != nil {
				t.Errorf("another request: %v", err)
			}
		})
	}
}

// TestAnswersAfterSilence guards against a request that is refused for servers that did not
// answer it, although it was answered since, or one of them answers after its entry was
// removed.
func TestAnswersAfterSilence(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newSilenceTest()
		ask := tarragondeal.Ask{Pools: []string{"p"}, Fingerprint: 42, Parts: []tarragondeal.PromptPart{{ID: 7}, {ID: 8}}}
		for k := range 3 {
			g, err := s.reserve(ask)
			if err != nil {
				t.Fatalf("late %t: %v", late, err)
			}
			slow := ask
			slow.Fingerprint = uint64(100 + k)
			for _, x := range s.list {
				if x.ID != g.Server.ID {
					slow.Avoid = append(slow.Avoid, x.ID)
				}
			}
			other, err := s.reserve(slow)
			if err != nil {
				t.Fatal(err)
			}
			s.pass(time.Second)
			s.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeLate})
			s.pass(time.Second)
			if late {
				s.change(g, nil)
				s.Done(other, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
				continue
			}
			s.Done(other, tarragondeal.Outcome{Kind: tarragondeal.OutcomeLate})
			answered, err := s.reserve(tarragondeal.Ask{Pools: []string{"p"}, Fingerprint: 42, Parts: ask.Parts, Avoid: []tarragondeal.ServerID{g.Server.ID}})
			if err != nil {
				t.Fatal(err)
			}
			s.Done(answered, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
			s.change(g, nil)
		}
		if s.refuses(ask) {
			t.Errorf("late %t: refused", late)
		}
	}
}

// refuses reports whether a request is refused for crashes.
func (s *silenceTest) refuses(a tarragondeal.Ask) bool {
	_, err := s.reserve(a)
	var refused *tarragondeal.RefusedError
	return errors.As(err, &refused) && refused.Reason == tarragondeal.ReasonQuarantined
}
