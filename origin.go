package tarragondeal

import (
	"context"
	"time"
)

// StreamOrigins knows at which software streams began, at whichever node.
type StreamOrigins interface {
	// Began records that the stream of a request began at a server with the given
	// software. The caller calls ended once, when the request has ended.
	Began(workspace string, request RequestID, s Software) (ended func())
	// Find returns the software at which a stream began. The error is a
	// *RefusedError with ReasonUnknownVersion.
	Find(ctx context.Context, q OriginQuery) (Software, error)
}

// OriginQuery names a stream that a caller resumes.
type OriginQuery struct {
	Workspace string
	Request   RequestID // The one that brought the first event, as named by the caller.
	Pools     []string  // The pools at which the stream may go on.
	// MaxAge is the longest time since the stream began; a lower bound applies.
	MaxAge time.Duration
}
