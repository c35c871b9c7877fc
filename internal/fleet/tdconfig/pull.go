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
	queryTimeout    = time.Second
	fetchTimeout    = time.Second // For one node, plus perPieceTimeout for each piece.
	perPieceTimeout = 10 * time.Millisecond
	maxSources      = 4 // Nodes from which one version is fetched.
	maxQueried      = 5 // Nodes queried after a start or a pause.
	enoughReplies   = 3 // Replies that confirm the version.
	// localFetchDelay is how long a node waits for a watcher of its data
	// centre to fetch a new version before it fetches the version from
	// another data centre.
	localFetchDelay = 300 * time.Millisecond
)

// apply installs the version of an encoded root if it is newer than the current
// one, fetching the pieces that the node lacks.
func (c *Config) apply(ctx context.Context, value []byte) error {
	r, err := decodeRoot(value)
	if err != nil {
		return err
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if r.Version <= c.current.Load().version() {
		return nil
	}
	contents, parts, err := c.collectPieces(ctx, r)
	if err != nil {
		return err
	}
	return c.install(r, value, contents, parts)
}

// collectPieces returns the pieces of a root. It takes them from the current
// state, then from other nodes, then from the store.
func (c *Config) collectPieces(ctx context.Context, r *root) (map[digest][]byte, map[digest]*tarragondeal.Set, error) {
	cur := c.current.Load()
	pieces := &pieceSet{contents: make(map[digest][]byte), parts: make(map[digest]*tarragondeal.Set)}
	for _, d := range r.digests() {
		if content, ok := cur.contents[d]; ok {
			pieces.contents[d], pieces.parts[d] = content, cur.parts[d]
		}
	}
	for _, m := range c.sources(r.Version) {
		missing := pieces.missing(r)
		if len(missing) == 0 {
			break
		}
		if err := c.fetchPieces(ctx, m, missing, pieces); err != nil {
			c.Scope.Counter("failedFetches").Inc(1)
			c.Log.Debug().Err(err).Str("from", string(m.Node)).Msg("can't fetch pieces")
		}
	}
	if err := c.readPieces(ctx, pieces.missing(r), pieces); err != nil {
		return nil, nil, err
	}
	return pieces.contents, pieces.parts, nil
}

// sources returns up to maxSources nodes that have version v. Nodes of this
// data centre precede others and suspect nodes come last; within these groups
// the order is random.
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
		return cmp.Compare(sourceRank(self, a), sourceRank(self, b))
	})
	return out[:min(len(out), maxSources)]
}

// sourceRank returns the position of m among the sources of self; lower is
// preferred.
func sourceRank(self, m tarragondeal.Member) int {
	rank := 0
	if m.DataCentre != self.DataCentre {
		rank++
	}
	if m.State == tarragondeal.MemberSuspect {
		rank += 2
	}
	return rank
}

// fetchPieces fetches missing pieces from a node. A piece whose digest was not
// requested is an error; the caller then tries the next source.
func (c *Config) fetchPieces(ctx context.Context, from tarragondeal.Member, missing []digest, pieces *pieceSet) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout+time.Duration(len(missing))*perPieceTimeout)
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
		d := digestOf(p.GetContent())
		if !want[d] {
			c.Scope.Counter("badPieces").Inc(1)
			return pieceError(d, "not requested")
		}
		if err := pieces.add(d, p.GetContent()); err != nil {
			return err
		}
	}
}

// readPieces reads missing pieces from the store.
func (c *Config) readPieces(ctx context.Context, missing []digest, pieces *pieceSet) error {
	p := pool.New().WithMaxGoroutines(c.storeConcurrency).WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, d := range missing {
		p.Go(func(ctx context.Context) error {
			e, err := c.Store.Get(ctx, d.key())
			if err != nil {
				return err
			}
			if e.Revision == 0 {
				return pieceError(d, "not in the store")
			}
			return pieces.add(d, e.Value)
		})
	}
	return p.Wait()
}

// pullNewer fetches and installs the newest version that a member has. It
// returns how long to wait before the next try, or zero if this node is up to
// date. waited is how long the caller has already waited.
func (c *Config) pullNewer(ctx context.Context, waited time.Duration) time.Duration {
	self, have := c.Members.Self(), c.current.Load().version()
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
	if !local && waited < localFetchDelay && !c.isWatcher() {
		return localFetchDelay - waited
	}
	for _, m := range from {
		if err := c.pullFrom(ctx, m, have); err != nil {
			c.Scope.Counter("failedFetches").Inc(1)
			c.Log.Debug().Err(err).Str("from", string(m.Node)).Msg("can't fetch version")
			continue
		}
		if c.current.Load().version() >= newest {
			return 0
		}
	}
	return localFetchDelay/2 + rand.N(localFetchDelay)
}

// pullFrom installs the version of m if it is newer than have.
func (c *Config) pullFrom(ctx context.Context, m tarragondeal.Member, have tarragondeal.Version) error {
	value, _, err := c.queryNewest(ctx, m, have)
	if err != nil || len(value) == 0 {
		return err
	}
	return c.apply(ctx, value)
}

// queryNewest returns the version of m, and its encoded root if the version is
// newer than have.
func (c *Config) queryNewest(ctx context.Context, m tarragondeal.Member, have tarragondeal.Version) ([]byte, tarragondeal.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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

// isWatcher reports whether this node is one of the Watchers nodes of its data
// centre that watch the store: those with the highest hashes of their names.
func (c *Config) isWatcher() bool {
	self := c.Members.Self()
	own, ahead := xxhash.Sum64String(string(self.Node)), 0
	for _, m := range c.Members.Members() {
		if m.DataCentre == self.DataCentre && m.State == tarragondeal.MemberAlive &&
			m.Node != self.Node && xxhash.Sum64String(string(m.Node)) > own {
			ahead++
		}
	}
	return ahead < c.Watchers
}
