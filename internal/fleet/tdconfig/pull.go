package tdconfig

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

const (
	askTimeout   = time.Second
	fetchTimeout = time.Second // From one node, and more for each piece.
	pieceTimeout = 10 * time.Millisecond
	sources      = 4 // Nodes that are tried for a version.
	asked        = 5 // Nodes asked after a start or a pause.
	askedEnough  = 3 // Answers that are enough then.
	// localWait is how long a node lets others of its data centre fetch a
	// new version before it goes to another data centre itself.
	localWait = 300 * time.Millisecond
)

// take brings the version of a root into force, fetching what it lacks.
func (c *Config) take(ctx context.Context, value []byte) error {
	r, err := decodeRoot(value)
	if err != nil {
		return err
	}
	c.taking.Lock()
	defer c.taking.Unlock()
	if r.Version <= c.now.Load().version() {
		return nil
	}
	contents, parts, err := c.gather(ctx, r)
	if err != nil {
		return err
	}
	return c.enforce(r, value, contents, parts)
}

// gather returns the pieces of a root: those in force already, then from
// other nodes, then from the store.
func (c *Config) gather(ctx context.Context, r *root) (map[digest][]byte, map[digest]*tarragondeal.Set, error) {
	now := c.now.Load()
	g := &collection{contents: make(map[digest][]byte), parts: make(map[digest]*tarragondeal.Set)}
	for _, d := range r.digests() {
		if content, ok := now.contents[d]; ok {
			g.contents[d], g.parts[d] = content, now.parts[d]
		}
	}
	for _, m := range c.sources(r.Version) {
		missing := g.missing(r)
		if len(missing) == 0 {
			break
		}
		if err := c.fetch(ctx, m, missing, g); err != nil {
			c.Scope.Counter("failedFetches").Inc(1)
			c.Log.Debug().Err(err).Str("from", string(m.Node)).Msg("can't fetch pieces")
		}
	}
	if err := c.read(ctx, g.missing(r), g); err != nil {
		return nil, nil, err
	}
	return g.contents, g.parts, nil
}

// sources returns nodes that have a version, those of this node's data
// centre first, otherwise in random order.
func (c *Config) sources(v tarragondeal.Version) []tarragondeal.Member {
	self := c.Members.Self()
	var out []tarragondeal.Member
	for _, m := range c.Members.Members() {
		if m.Node != self.Node && m.Config >= v && m.State != tarragondeal.MemberDead {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	slices.SortStableFunc(out, func(a, b tarragondeal.Member) int {
		return cmp.Compare(rankOf(self, a), rankOf(self, b))
	})
	return out[:min(len(out), sources)]
}

func rankOf(self, m tarragondeal.Member) int {
	rank := 0
	if m.DataCentre != self.DataCentre {
		rank++
	}
	if m.State == tarragondeal.MemberSuspect {
		rank += 2
	}
	return rank
}

// fetch asks a node for pieces. A piece that is not what its digest says is
// refused, and another source is asked for it.
func (c *Config) fetch(ctx context.Context, from tarragondeal.Member, missing []digest, g *collection) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout+time.Duration(len(missing))*pieceTimeout)
	defer cancel()
	conn, err := c.Links.Dial(from.Peer)
	if err != nil {
		return err
	}
	in := &Want{}
	want := make(map[digest]bool, len(missing))
	for _, d := range missing {
		in.Digests = append(in.Digests, d[:])
		want[d] = true
	}
	stream, err := NewConfigurationClient(conn).Pieces(ctx, in)
	if err != nil {
		return err
	}
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		d := sum(p.GetContent())
		if !want[d] {
			c.Scope.Counter("badPieces").Inc(1)
			return pieceError(d, "was not asked for")
		}
		if err := g.add(d, p.GetContent()); err != nil {
			return err
		}
	}
}

// read reads pieces from the store.
func (c *Config) read(ctx context.Context, missing []digest, g *collection) error {
	p := pool.New().WithMaxGoroutines(c.parallel).WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, d := range missing {
		p.Go(func(ctx context.Context) error {
			e, err := c.Store.Get(ctx, d.key())
			if err != nil {
				return err
			}
			if e.Revision == 0 {
				return pieceError(d, "not in the store")
			}
			return g.add(d, e.Value)
		})
	}
	return p.Wait()
}

// pullNewer brings the newest version that a member has into force. It
// returns how long to wait before it should be tried again, or zero.
func (c *Config) pullNewer(ctx context.Context, since time.Duration) time.Duration {
	self, have := c.Members.Self(), c.now.Load().version()
	newest := have
	local := false
	for _, m := range c.Members.Members() {
		newest = max(newest, m.Config)
	}
	if newest == have {
		return 0
	}
	from := c.sources(newest)
	for _, m := range from {
		local = local || m.DataCentre == self.DataCentre
	}
	if !local && since < localWait && !c.watcher() {
		return localWait - since
	}
	for _, m := range from {
		if err := c.pullFrom(ctx, m, have); err != nil {
			c.Scope.Counter("failedFetches").Inc(1)
			c.Log.Debug().Err(err).Str("from", string(m.Node)).Msg("can't pull a version")
			continue
		}
		if c.now.Load().version() >= newest {
			return 0
		}
	}
	return localWait/2 + rand.N(localWait)
}

func (c *Config) pullFrom(ctx context.Context, m tarragondeal.Member, have tarragondeal.Version) error {
	value, _, err := c.newest(ctx, m, have)
	if err != nil || len(value) == 0 {
		return err
	}
	return c.take(ctx, value)
}

func (c *Config) newest(ctx context.Context, m tarragondeal.Member, have tarragondeal.Version) ([]byte, tarragondeal.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := c.Links.Dial(m.Peer)
	if err != nil {
		return nil, 0, err
	}
	out, err := NewConfigurationClient(conn).Newest(ctx, &Have{Version: uint64(have)})
	if err != nil {
		return nil, 0, err
	}
	return out.GetRoot(), tarragondeal.Version(out.GetVersion()), nil
}

// watcher reports whether this node is one of those of its data centre that
// watch the store.
func (c *Config) watcher() bool {
	self := c.Members.Self()
	own, before := xxhash.Sum64String(string(self.Node)), 0
	for _, m := range c.Members.Members() {
		if m.DataCentre == self.DataCentre && m.State == tarragondeal.MemberAlive &&
			m.Node != self.Node && xxhash.Sum64String(string(m.Node)) > own {
			before++
		}
	}
	return before < c.Watchers
}
