// Package tdclaim lets each non-idempotent request run at most once in the
// fleet, by a claim in the platform's key-value service.
//
// # Usage
//
//	claims := tdclaim.New(store)
//	claim, err := claims.Take(ctx, key, digest)
package tdclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/google/uuid"

	"tarragondeal"
)

// Claims takes claims in the store.
type Claims struct {
	store tarragondeal.Store
}

// New returns claims kept in store.
func New(store tarragondeal.Store) *Claims { return &Claims{store: store} }

type record struct {
	Mark   string                 `json:"mark"`
	Digest string                 `json:"digest"`
	Answer *tarragondeal.Recorded `json:"answer,omitempty"`
}

func storeKey(k tarragondeal.ClaimKey) string {
	h := sha256.New()
	for _, part := range []string{k.Workspace, k.Route, k.Key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return "claim/" + hex.EncodeToString(h.Sum(nil))
}

// Take claims the right to run.
func (c *Claims) Take(ctx context.Context, k tarragondeal.ClaimKey, digest string) (tarragondeal.Claim, error) {
	mine := record{Mark: uuid.NewString(), Digest: digest}
	value, err := json.Marshal(mine)
	if err != nil {
		return tarragondeal.Claim{}, err
	}
	e, err := c.store.Swap(ctx, storeKey(k), value, 0)
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		return c.taken(k, digest, conflict.Current.Value)
	}
	if err != nil {
		return tarragondeal.Claim{}, err
	}
	return tarragondeal.Claim{Key: k, Mark: mine.Mark, Digest: digest, Revision: e.Revision}, nil
}

func (c *Claims) taken(k tarragondeal.ClaimKey, digest string, value []byte) (tarragondeal.Claim, error) {
	var there record
	if err := json.Unmarshal(value, &there); err != nil {
		return tarragondeal.Claim{}, err
	}
	e := &tarragondeal.ClaimError{Key: k, Reason: tarragondeal.ReasonAlreadyRunning, Ran: tarragondeal.RanUnknown}
	if there.Digest != digest {
		e.Reason = tarragondeal.ReasonBodyDiffers
	} else if there.Answer != nil {
		e.Reason, e.Ran, e.Answer = tarragondeal.ReasonAlreadyRan, tarragondeal.RanYes, there.Answer
	}
	return tarragondeal.Claim{}, e
}

// Finish records the answer.
func (c *Claims) Finish(ctx context.Context, cl tarragondeal.Claim, r tarragondeal.Recorded) error {
	value, err := json.Marshal(record{Mark: cl.Mark, Digest: cl.Digest, Answer: &r})
	if err != nil {
		return err
	}
	_, err = c.store.Swap(ctx, storeKey(cl.Key), value, cl.Revision)
	return err
}

// Abandon gives back a claim whose request has not run.
func (c *Claims) Abandon(ctx context.Context, cl tarragondeal.Claim) error {
	return c.store.Delete(ctx, storeKey(cl.Key), cl.Revision)
}
