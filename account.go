package tarragondeal

import (
	"context"
	"time"
)

// ClaimKey names a non-idempotent request.
type ClaimKey struct {
	Workspace string
	Route     string
	Key       string // The caller's idempotency key.
}

// Claim is the right to run a non-idempotent request once.
type Claim struct {
	Key      ClaimKey
	Mark     string // Unique to this call of Take.
	Digest   string // Of the request's body.
	Revision Revision
}

// RecordedAnswer is the answer of a request that ran.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Digest      string `json:"digest"`            // SHA-256 of the body, hex.
	Omitted     bool   `json:"omitted,omitempty"` // The body was too large to keep.
}

// Claims lets each non-idempotent request run at most once in the fleet.
type Claims interface {
	// Take claims the right to run. The error is a *ClaimError when the
	// request ran, runs or may have run, and a *StoreError when the store did
	// not confirm the claim; then this call has not let the request run.
	Take(ctx context.Context, k ClaimKey, bodyDigest string) (Claim, error)
	// Finish records the answer and marks the request as run.
	Finish(ctx context.Context, c Claim, r RecordedAnswer) error
	// Abandon releases a claim whose request has certainly not run.
	Abandon(ctx context.Context, c Claim) error
}

// Usage is one delivered answer, or a part of one.
type Usage struct {
	Request      RequestID
	Workspace    string
	Route        string
	Class        string
	At           time.Time
	InputTokens  int
	OutputTokens int
	Last         bool // The request ended with this part.
}

// Waste is work that was done and not delivered.
type Waste struct {
	Cause  string
	Class  string
	Tokens int
}

// Meter counts what is billed and what is wasted.
type Meter interface {
	// Add counts delivered work. It returns nil once the figures survive a
	// crash of this VM, and an error when they may not. They are counted in
	// both cases, so the caller must not add them again.
	Add(ctx context.Context, u Usage) error
	// Waste counts work that is billed to nobody.
	Waste(w Waste)
}

// Sample holds the measurements of one request that are compared with the
// targets of its class.
type Sample struct {
	Workspace     string
	Class         string
	FirstToken    time.Duration // From arrival; zero without a token.
	BetweenTokens time.Duration // The longest gap.
	Total         time.Duration
	Refused       bool
	Failed        bool
	Reclaimable   bool // It ran on a reclaimable server.
}

// Burn collects samples for the report on error budget burn.
type Burn interface {
	Observe(s Sample)
}
