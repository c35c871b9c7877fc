package tdflow

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
)

// claimTimeout bounds recording an answer and abandoning a claim.
const claimTimeout = 2 * time.Second

// runOnce runs a non-idempotent request at most once. The request continues if its
// caller disconnects or its key is withdrawn, so that its answer is recorded.
func (r *run) runOnce(caller context.Context) error {
	q := r.q
	if q.IdemKey == "" {
		return r.refuse(tarragondeal.ReasonNeedsIdemKey, "this route needs an Idempotency-Key header")
	}
	ctx, cancel := r.withDeadline(context.WithoutCancel(caller))
	defer cancel()
	key := tarragondeal.ClaimKey{Workspace: q.Workspace.Name, Route: q.Route.Name, Key: q.IdemKey}
	claim, err := r.f.Claims.Take(ctx, key, requestDigest(q))
	if err != nil {
		return r.claimError(err)
	}
	q.Settled, r.claim = true, &claim
	defer r.abandonClaim()
	if caller.Err() != nil {
		panic(http.ErrAbortHandler) // An answer without a body would look complete.
	}
	return r.serve(ctx)
}

// requestDigest returns a digest that identifies the request sent with an
// idempotency key.
func requestDigest(q *Request) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(q.Method), []byte(q.Path), q.Body} {
		h.Write([]byte(strconv.Itoa(len(part)) + " "))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// claimError answers a request for which Claims.Take returned err.
func (r *run) claimError(err error) error {
	if claim, ok := errors.AsType[*tarragondeal.ClaimError](err); ok {
		return r.replay(claim)
	}
	if refused, ok := errors.AsType[*tarragondeal.RefusedError](err); ok {
		r.recordRefusal(refused.Reason)
		return refused
	}
	// An earlier request with this key may have run.
	r.ran = tarragondeal.RanUnknown
	_, store := errors.AsType[*tarragondeal.StoreError](err)
	switch {
	case store, errors.Is(err, context.DeadlineExceeded):
		return r.refuse(tarragondeal.ReasonStoreUnavailable, "what this request needs can't be agreed now; repeat it with the same key")
	default:
		r.f.Log.Error().Err(err).Str("request", string(r.q.ID)).Msg("can't take claim")
		return r.refuse(tarragondeal.ReasonStoreUnavailable, "the claim of this request can't be read")
	}
}

// replay answers a request that has already run or is running, with the recorded
// answer if there is one.
func (r *run) replay(e *tarragondeal.ClaimError) error {
	r.ran = e.Ran
	if e.Answer == nil {
		r.recordRefusal(e.Reason)
		return e
	}
	h := r.w.Header()
	h.Set(HeaderReplayed, "true")
	if e.Answer.Omitted {
		r.recordRefusal(e.Reason)
		return e
	}
	if e.Answer.ContentType != "" {
		h.Set("Content-Type", e.Answer.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(e.Answer.Body)))
	rc := http.NewResponseController(r.w)
	_ = rc.SetWriteDeadline(time.Now().Add(r.f.opt.WriteTimeout))
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	r.w.WriteHeader(e.Answer.Status)
	_, _ = r.w.Write(e.Answer.Body)
	return nil
}

// recordPlainAnswer records a plain answer. It is called before the answer is sent
// to the caller, or afterwards if the answer is too large to be buffered. If
// recording fails, the answer is still sent; the claim stays, and a repeated
// request gets the answer that the request may have run.
func (r *run) recordPlainAnswer(ctx context.Context, o *tdrelay.PlainAnswer) {
	if r.claim == nil {
		return
	}
	body := o.Body
	if o.Omitted {
		body = nil
	}
	r.record(ctx, tarragondeal.RecordedAnswer{
		Status: o.Status, ContentType: o.Header.Get("Content-Type"), Body: body,
		Digest: hex.EncodeToString(o.Digest()), Omitted: o.Omitted,
	})
}

// recordStream records a complete streamed answer.
func (r *run) recordStream(ctx context.Context) {
	if r.claim == nil {
		return
	}
	body, digest, omitted := r.stream.s.Recorded()
	r.record(ctx, tarragondeal.RecordedAnswer{
		Status: http.StatusOK, ContentType: "text/event-stream", Body: body,
		Digest: hex.EncodeToString(digest), Omitted: omitted,
	})
}

func (r *run) record(ctx context.Context, answer tarragondeal.RecordedAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err := r.f.Claims.Finish(ctx, *r.claim, answer); err != nil {
		r.f.Metrics.Counter("answersNotRecorded").Inc(1)
		r.f.Log.Warn().Err(err).Str("request", string(r.q.ID)).Msg("answer not recorded")
		return
	}
	r.recorded = true
}

// abandonClaim abandons the claim if the request has certainly not run.
func (r *run) abandonClaim() {
	if r.recorded || r.ran != tarragondeal.RanNot || r.stream.delivered {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := r.f.Claims.Abandon(ctx, *r.claim); err != nil {
		r.f.Metrics.Counter("claimsNotReturned").Inc(1)
		r.f.Log.Warn().Err(err).Str("request", string(r.q.ID)).Msg("claim not released")
	}
}

// CorrectRan returns err with Ran corrected for a repeated request. A non-idempotent
// request that is refused before its claim was settled may have run when it was
// sent earlier with the same idempotency key. This call didn't run it, but
// whether it ever ran is unknown.
func (q *Request) CorrectRan(err error) error {
	refused, ok := errors.AsType[*tarragondeal.RefusedError](err)
	repeat := q.Route != nil && q.Route.NonIdempotent && q.IdemKey != "" && !q.Settled
	if !ok || !repeat || refused.Ran != tarragondeal.RanNot {
		return err
	}
	out := *refused
	out.Ran = tarragondeal.RanUnknown
	return &out
}
