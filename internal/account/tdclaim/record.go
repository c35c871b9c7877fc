package tdclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// keyPrefix is the prefix of the store keys of claims.
const keyPrefix = "claim/"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// state is the state of a claim's request.
type state string

const (
	stateClaimed  state = "claimed"  // The request may be running or may have run.
	stateFinished state = "finished" // The request has run, and its answer is known.
	stateReleased state = "released" // The request has not run, and the claim is free.
)

// record is the value of a claim in the store.
type record struct {
	State       state                        `json:"state"`
	Mark        string                       `json:"mark"`
	Digest      string                       `json:"digest"`
	Node        tarragondeal.NodeID          `json:"node"`
	Incarnation uint64                       `json:"incarnation"`
	At          time.Time                    `json:"at"`
	MaxRun      tarragondeal.Duration        `json:"maxRun"`
	Answer      *tarragondeal.RecordedAnswer `json:"answer,omitempty"`
}

func encode(r record) ([]byte, error) { return json.Marshal(r) }

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, eris.Wrap(err, "decode claim")
	}
	switch r.State {
	case stateClaimed, stateReleased:
	case stateFinished:
		if r.Answer == nil {
			return record{}, eris.New("finished claim has no answer")
		}
	default:
		return record{}, eris.Errorf("claim has unknown state %q", r.State)
	}
	if r.Mark == "" {
		return record{}, eris.New("claim has no mark")
	}
	return r, nil
}

// storeKey returns the store key of a claim. Each part is hashed on its own
// first, so that different claims never get the same key. Idempotency keys
// don't appear in the store.
func storeKey(k tarragondeal.ClaimKey) string {
	h := sha256.New()
	for _, part := range []string{k.Workspace, k.Route, k.Key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

func checkKey(k tarragondeal.ClaimKey) error {
	if k.Key != "" && len(k.Key) <= maxKeyBytes {
		return nil
	}
	return &tarragondeal.RefusedError{
		Reason: tarragondeal.ReasonBadRequest, Ran: tarragondeal.RanNot,
		Detail: "the idempotency key must have 1 to 255 bytes",
	}
}

// refusal returns the *ClaimError for a request whose claim has an existing
// record that is not released. The time and holderAlive affect only what the
// caller receives: a claimed record never becomes free with time.
func refusal(k tarragondeal.ClaimKey, digest string, existing record, now time.Time, holderAlive bool) error {
	e := &tarragondeal.ClaimError{Key: k, Ran: tarragondeal.RanUnknown}
	left := existing.At.Add(time.Duration(existing.MaxRun)).Sub(now)
	switch {
	case existing.Digest != digest:
		// A different body is a different request, and it was not sent.
		e.Reason, e.Ran = tarragondeal.ReasonBodyDiffers, tarragondeal.RanNot
	case existing.State == stateFinished:
		e.Reason, e.Ran, e.Answer = tarragondeal.ReasonAlreadyRan, tarragondeal.RanYes, existing.Answer
	case holderAlive && left > 0:
		e.Reason, e.RetryAfter = tarragondeal.ReasonAlreadyRunning, retryAfter(left)
	default:
		e.Reason = tarragondeal.ReasonOutcomeUnknown
	}
	return e
}

// Bounds of the RetryAfter for a request that is still running.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 15 * time.Second
)

// retryAfter returns an eighth of the time left to the running request, within
// the bounds.
func retryAfter(left time.Duration) time.Duration {
	return min(max(left/8, minRetryAfter), maxRetryAfter)
}
