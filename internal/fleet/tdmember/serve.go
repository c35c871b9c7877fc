package tdmember

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
)

// server implements the Membership service.
type server struct {
	UnimplementedMembershipServer
	m     *Members
	links Links
}

// Register registers the Membership service on r. The service reaches other
// nodes over links when it is asked to probe them.
func (m *Members) Register(r grpc.ServiceRegistrar, links Links) {
	RegisterMembershipServer(r, &server{m: m, links: links})
}

// Exchange answers a heartbeat.
func (s *server) Exchange(_ context.Context, in *Beat) (*Beat, error) {
	if in.GetFrom() == "" || len(in.GetFrom()) > maxNameBytes {
		return nil, status.Error(codes.InvalidArgument, "heartbeat without a sender")
	}
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	from := tarragondeal.NodeID(in.GetFrom())
	m.mergeRecords(in.GetNews(), from)
	_, known := m.table.entries[from]
	out := &Beat{From: string(m.table.self), Unknown: !known}
	if !known {
		return out, nil
	}
	p := m.recordContact(from)
	p.knowsSelf = p.knowsSelf && !in.GetUnknown()
	m.requestRefutation(from)
	m.mergeLevels(in.GetLevels(), from)
	m.fillBeat(p, out)
	p.knowsSelf = true
	out.Digest = combineDigests(m.table.digests())
	return out, nil
}

// Sync answers with the records of the buckets that differ.
func (s *server) Sync(_ context.Context, in *Digests) (*Records, error) {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.GetSelf() != nil {
		m.mergeRecords([]*Record{in.GetSelf()}, tarragondeal.NodeID(in.GetSelf().GetNode()))
	}
	theirs, ours := in.GetBuckets(), m.table.digests()
	out := &Records{}
	for n, e := range m.table.entries {
		b := bucket(n)
		if b < uint64(len(theirs)) && theirs[b] == ours[b] {
			continue
		}
		out.Records = append(out.Records, encode(e))
	}
	return out, nil
}

// Probe sends a heartbeat to a node on behalf of a peer and reports whether
// that node answered.
func (s *server) Probe(ctx context.Context, in *Target) (*Reached, error) {
	var addr netip.AddrPort
	if err := addr.UnmarshalBinary(in.GetPeer()); err != nil {
		return nil, status.Error(codes.InvalidArgument, "wrong address")
	}
	ctx, cancel := context.WithTimeout(ctx, s.m.callTimeout())
	defer cancel()
	out, err := s.m.call(ctx, s.links, addr, &Beat{From: string(s.m.Self().Node)})
	return &Reached{Ok: err == nil && out.GetFrom() == in.GetNode()}, nil
}

func (m *Members) callTimeout() time.Duration { return 2 * m.opt.Every }

func (m *Members) call(ctx context.Context, links Links, addr netip.AddrPort, in *Beat) (*Beat, error) {
	conn, err := links.Dial(addr)
	if err != nil {
		return nil, err
	}
	return NewMembershipClient(conn).Exchange(ctx, in)
}
