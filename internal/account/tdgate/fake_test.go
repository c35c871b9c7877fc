package tdgate

import (
	"context"
	"errors"

	"google.golang.org/grpc"

	"tarragondeal"
)

// yieldStore yields to the explorer before each write.
type yieldStore struct {
	tarragondeal.Store
	call func(any) any
}

func (s yieldStore) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	lost := s.call(swapCall{}).(bool)
	e, err := s.Store.Swap(ctx, key, value, prev)
	if lost {
		return tarragondeal.Entry{}, &tarragondeal.StoreError{Op: "swap", Err: errors.New("lost")}
	}
	return e, err
}

type links struct{ call func(any) any }

func (l links) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	return conn{node: n, call: l.call}, nil
}

type conn struct {
	grpc.ClientConnInterface
	node tarragondeal.NodeID
	call func(any) any
}

func (c conn) Invoke(_ context.Context, _ string, in, out any, _ ...grpc.CallOption) error {
	a := c.call(closeCall{c.node, in.(*CloseRequest)}).(closeAnswer)
	if a.err == nil {
		out.(*CloseAnswer).Process = a.out.Process
		out.(*CloseAnswer).Unsettled = a.out.Unsettled
	}
	return a.err
}

type self struct{ node tarragondeal.NodeID }

func (s self) Self() tarragondeal.Member    { return tarragondeal.Member{Node: s.node} }
func (self) Members() []tarragondeal.Member { return nil }
func (self) Changed() <-chan struct{}       { return nil }

type noVMs struct{ tarragondeal.VMList }

func (noVMs) EntryVMs(context.Context) ([]tarragondeal.EntryVM, error) { return nil, nil }
