package tdclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// prefix is where claims stand in the store.
const prefix = "claim/"

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// state is how far a claim's request has come.
type state string

const (
	stateClaimed  state = "claimed"  // It may run or have run.
	stateFinished state = "finished" // It ran; the answer is known.
	stateReleased state = "released" // It has not run; the claim is free.
)

// record is the value of a claim in the store.
type record struct {
	State       state                  `json:"state"`
	Mark        string                 `json:"mark"`
	Digest      string                 `json:"digest"`
	Node        tarragondeal.NodeID    `json:"node"`
	Incarnation uint64                 `json:"incarnation"`
	At          time.Time              `json:"at"`
	MaxRun      tarragondeal.Duration  `json:"maxRun"`
	Answer      *tarragondeal.Recorded `json:"answer,omitempty"`
}

func encode(r record) ([]byte, error) { return json.Marshal(r) }

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, eris.Wrap(err, "claim can't be read")
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

// storeKey hashes the parts one by one, so that no two claims share a name
// and no idempotency key stands in the store.
func storeKey(k tarragondeal.ClaimKey) string {
	h := sha256.New()
	for _, part := range []string{k.Workspace, k.Route, k.Key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return prefix + hex.EncodeToString(h.Sum(nil))
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

// refusal says why the request of a record that is not released may not run
// again. It depends on clocks and on membership only for what it tells: a
// claimed record never becomes free by time.
func refusal(k tarragondeal.ClaimKey, digest string, there record, now time.Time, holderLives bool) error {
	e := &tarragondeal.ClaimError{Key: k, Ran: tarragondeal.RanUnknown}
	left := there.At.Add(time.Duration(there.MaxRun)).Sub(now)
	switch {
	case there.Digest != digest:
		// This body is another request, and was sent nowhere.
		e.Reason, e.Ran = tarragondeal.ReasonBodyDiffers, tarragondeal.RanNot
	case there.State == stateFinished:
		e.Reason, e.Ran, e.Answer = tarragondeal.ReasonAlreadyRan, tarragondeal.RanYes, there.Answer
	case holderLives && left > 0:
		e.Reason, e.RetryAfter = tarragondeal.ReasonAlreadyRunning, retryAfter(left)
	default:
		e.Reason = tarragondeal.ReasonOutcomeUnknown
	}
	return e
}

// The bounds of what a caller that finds its request running is told to wait.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 15 * time.Second
)

func retryAfter(left time.Duration) time.Duration {
	return min(max(left/8, minRetryAfter), maxRetryAfter)
}
