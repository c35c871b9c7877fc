package tdclaim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/test/tdmemstore"
)

// operation is one recorded call on a claim.
type operation struct {
	name string // take, finish or abandon.
	key  string
	mark string
}

// callResult is the outcome of a call.
type callResult string

const (
	resultDone    callResult = "done"
	resultTaken   callResult = "taken"  // Another call holds the claim.
	resultRan     callResult = "ran"    // The answer is recorded.
	resultUnknown callResult = "unsure" // The call may take effect now, later or never.
)

// register is the state of a claim in the model: free, held by a mark, or
// finished.
type register struct{ holder, finished string }

// claimModel returns the model that histories are checked against.
func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, o := range h {
				k := o.Input.(operation).key
				byKey[k] = append(byKey[k], o)
			}
			var out [][]porcupine.Operation
			for _, ops := range byKey {
				out = append(out, ops)
			}
			return out
		},
		Step: func(s, in, out any) []any {
			return nextRegisters(s.(register), in.(operation), out.(callResult))
		},
	}
	return m.ToModel()
}

func nextRegisters(r register, in operation, out callResult) []any {
	free := r.holder == "" && r.finished == ""
	var effect []any
	switch {
	case in.name == "take" && free:
		effect = []any{register{holder: in.mark}}
	case in.name == "finish" && r.holder == in.mark:
		effect = []any{register{finished: in.mark}}
	case in.name == "abandon" && r.holder == in.mark:
		effect = []any{register{}}
	}
	switch out {
	case resultDone:
		return effect
	case resultTaken:
		if r.holder != "" {
			return []any{r}
		}
		return nil
	case resultRan:
		if r.finished != "" {
			return []any{r}
		}
		return nil
	default:
		return append(effect, r)
	}
}

type recorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (r *recorder) do(client int, in operation, call func() callResult) callResult {
	begin := time.Since(r.start).Nanoseconds()
	out := call()
	end := time.Since(r.start).Nanoseconds()
	if out == resultUnknown {
		// The call may take effect at any time until the end of the history.
		end = time.Hour.Nanoseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: begin, Return: end})
	return out
}

// contend runs clients that take, finish and abandon the same few claims
// through a store that loses calls and answers, and returns their history.
func contend(seed uint64, newMark func(client, n int) string) []porcupine.Operation {
	var mu sync.Mutex
	faults := rand.New(rand.NewPCG(seed, 0))
	store := tdmemstore.New()
	store.Fault = func(string, string) tdmemstore.Fault {
		mu.Lock()
		defer mu.Unlock()
		return []tdmemstore.Fault{tdmemstore.None, tdmemstore.None, tdmemstore.LoseAnswer, tdmemstore.LoseCall, tdmemstore.Refuse}[faults.IntN(5)]
	}
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() { r.client(client, seed, store, newMark) })
	}
	wg.Wait()
	return r.ops
}

func (r *recorder) client(client int, seed uint64, store tarragondeal.Store, newMark func(client, n int) string) {
	ctx := context.Background()
	claims := New(Deps{
		Store: store, Members: fixedMembers{}, Clock: fixedClock{}, Log: zerolog.Nop(),
	}, Config{MaxRun: time.Minute, MaxAnswer: 10, Wait: time.Minute, Pending: 64})
	claims.sleep = func(context.Context, time.Duration) {}
	choices := rand.New(rand.NewPCG(seed, uint64(client)+1))
	for n := range 8 {
		mark := newMark(client, n)
		claims.newMark = func() string { return mark }
		key := fmt.Sprint("key", choices.IntN(3))
		var claim tarragondeal.Claim
		out := r.do(client, operation{"take", key, mark}, func() callResult {
			var err error
			claim, err = claims.Take(ctx, tarragondeal.ClaimKey{Key: key}, "digest")
			return classify(err)
		})
		if out != resultDone {
			continue
		}
		in := operation{"finish", key, mark}
		if choices.IntN(2) == 0 {
			in.name = "abandon"
		}
		r.do(client, in, func() callResult {
			write := endWrite{claim: claim, target: record{State: stateReleased, Mark: mark, Digest: "digest"}}
			if in.name == "finish" {
				write.target.State, write.target.Answer = stateFinished, &tarragondeal.RecordedAnswer{}
			}
			claims.retry(ctx, &write)
			return resultDone
		})
	}
}

func classify(err error) callResult {
	var taken *tarragondeal.ClaimError
	switch {
	case err == nil:
		return resultDone
	case !errors.As(err, &taken):
		return resultUnknown
	case taken.Ran == tarragondeal.RanYes:
		return resultRan
	default:
		return resultTaken
	}
}

var _ = Describe("recorded histories of contended claims", func() {
	unique := func(client, n int) string { return fmt.Sprint(client, "/", n) }
	for seed := range uint64(20) {
		It(fmt.Sprint("are linearizable with seed ", seed), func() {
			Expect(porcupine.CheckOperations(claimModel(), contend(seed, unique))).To(BeTrue())
		})
	}

	It("are not linearizable when calls share a mark", func() {
		shared := func(int, int) string { return "mark" }
		var violations int
		for seed := range uint64(20) {
			h := contend(seed, shared)
			for n := range h {
				in := h[n].Input.(operation)
				in.mark = fmt.Sprint(h[n].ClientId)
				h[n].Input = in
			}
			if !porcupine.CheckOperations(claimModel(), h) {
				violations++
			}
		}
		Expect(violations).To(BeNumerically(">", 0))
	})
})
