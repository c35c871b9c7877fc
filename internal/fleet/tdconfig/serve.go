package tdconfig

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// serving is how many nodes are given pieces at once; the others turn to
// nodes that were.
const serving = 4

// server takes other nodes' calls.
type server struct {
	UnimplementedConfigurationServer
	c     *Config
	slots chan struct{}
}

// Register makes a server of links pass on what this node has.
func (c *Config) Register(r grpc.ServiceRegistrar) {
	RegisterConfigurationServer(r, &server{c: c, slots: make(chan struct{}, serving)})
}

// Newest answers with the root in force.
func (s *server) Newest(_ context.Context, in *Have) (*Newer, error) {
	now := s.c.now.Load()
	out := &Newer{Version: uint64(now.version())}
	if out.GetVersion() > in.GetVersion() {
		out.Root = now.value
	}
	return out, nil
}

// Pieces answers with the wanted pieces that this node has.
func (s *server) Pieces(in *Want, stream grpc.ServerStreamingServer[Piece]) error {
	if len(in.GetDigests()) > maxPieces {
		return status.Error(codes.InvalidArgument, "too many pieces")
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return status.Error(codes.ResourceExhausted, "others are being served")
	}
	now := s.c.now.Load()
	for _, b := range in.GetDigests() {
		var d digest
		if len(b) != len(d) {
			return status.Error(codes.InvalidArgument, "wrong digest")
		}
		copy(d[:], b)
		if content, ok := now.contents[d]; ok {
			if err := stream.Send(&Piece{Content: content}); err != nil {
				return err
			}
		}
	}
	return nil
}
