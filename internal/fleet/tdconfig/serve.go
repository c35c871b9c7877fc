package tdconfig

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxPieceStreams is the number of nodes that are sent pieces concurrently.
// Other nodes fetch them from nodes that already have them.
const maxPieceStreams = 4

// server implements the Configuration service.
type server struct {
	UnimplementedConfigurationServer
	c     *Config
	slots chan struct{}
}

// Register registers the service that gives other nodes this node's version.
func (c *Config) Register(r grpc.ServiceRegistrar) {
	RegisterConfigurationServer(r, &server{c: c, slots: make(chan struct{}, maxPieceStreams)})
}

// Newest returns the current version, and its root if the caller's is older.
func (s *server) Newest(_ context.Context, in *Have) (*Newer, error) {
	cur := s.c.current.Load()
	out := &Newer{Version: uint64(cur.version())}
	if out.GetVersion() > in.GetVersion() {
		out.Root = cur.value
	}
	return out, nil
}

// Pieces sends the requested pieces that this node has.
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
	cur := s.c.current.Load()
	for _, b := range in.GetDigests() {
		var d digest
		if len(b) != len(d) {
			return status.Error(codes.InvalidArgument, "wrong digest")
		}
		copy(d[:], b)
		if content, ok := cur.contents[d]; ok {
			if err := stream.Send(&Piece{Content: content}); err != nil {
				return err
			}
		}
	}
	return nil
}
