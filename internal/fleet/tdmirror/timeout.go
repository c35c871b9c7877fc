package tdmirror

import (
	"context"
	"net/http/httptrace"
	"time"
)

// transferTimeout is how long an answer may take that has begun to arrive: a value of
// 1 MiB on a link of 10 Mbit/s, which carries other traffic too.
const transferTimeout = 2 * time.Second

// withAnswerTimeout returns a context for one call to the service. It ends when no
// answer has begun within timeout, or when an answer is not complete transferTimeout
// after it has begun. Only calls over HTTP report the beginning of an answer.
func withAnswerTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { timer.Reset(transferTimeout) },
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
