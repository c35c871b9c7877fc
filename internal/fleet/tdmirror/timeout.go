package tdmirror

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"tarragondeal"
)

// transferTimeout is how long an answer may take that has begun to arrive: a value of
// 1 MiB on a link of 10 Mbit/s, which carries other traffic too.
const transferTimeout = 2 * time.Second

// answerTimer bounds one call to the service and records when its answer began.
type answerTimer struct {
	clock tarragondeal.Clock
	timer *time.Timer
	end   context.CancelCauseFunc
	begun atomic.Int64 // An Instant; zero before the answer has begun.
}

// newAnswerTimer returns a timer, and a context for one call to the service. The context
// ends when no answer has begun within timeout, or when an answer is not complete
// transferTimeout after it has begun. Only calls over HTTP report the beginning of an
// answer.
func newAnswerTimer(ctx context.Context, c tarragondeal.Clock, timeout time.Duration) (context.Context, *answerTimer) {
	ctx, end := context.WithCancelCause(ctx)
	t := &answerTimer{clock: c, end: end}
	t.timer = time.AfterFunc(timeout, func() { end(context.DeadlineExceeded) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: t.begin}), t
}

func (t *answerTimer) begin() {
	t.begun.Store(int64(t.clock.Now()))
	t.timer.Reset(transferTimeout)
}

// stop releases the context.
func (t *answerTimer) stop() {
	t.timer.Stop()
	t.end(context.Canceled)
}

// transfer returns how long ago the answer began, or zero if that is not known.
func (t *answerTimer) transfer() time.Duration {
	begun := tarragondeal.Instant(t.begun.Load())
	if begun == 0 {
		return 0
	}
	return t.clock.Now().Sub(begun)
}
