package tdpass

import (
	"context"
	"sync"
	"testing"
	"time"

	"tarragondeal/internal/entry/tdflow"
)

// TestResponseTimerDecidesOnce guards against an attempt that continues and is
// cancelled by its response timer, and against a retry taken from the budget after
// the attempt has ended.
func TestResponseTimerDecidesOnce(t *testing.T) {
	var stopped, fired int
	for n := range 2000 {
		ctx, cancel := context.WithCancelCause(context.Background())
		rt := &responseTimer{cancel: cancel}
		var wg sync.WaitGroup
		taken := false
		rt.timer = time.AfterFunc(time.Hour, func() {})
		wg.Go(func() { rt.fire(func() bool { taken = true; return true }) })
		if n%2 == 0 {
			time.Sleep(time.Microsecond)
		}
		continues := rt.stop()
		cancelled := ctx.Err() != nil
		wg.Wait()
		if continues == taken || cancelled != taken || (ctx.Err() != nil) != taken {
			t.Fatalf("continues %t, retry taken %t, cancelled %t and %t later", continues, taken, cancelled, ctx.Err() != nil)
		}
		if got := rt.result(tdflow.Result{}).Failure == tdflow.FailNone; got != continues {
			t.Fatalf("result %t, continues %t", got, continues)
		}
		if continues {
			stopped++
		} else {
			fired++
		}
		rt.end()
	}
	t.Logf("stopped first %d times, fired first %d times", stopped, fired)
}
