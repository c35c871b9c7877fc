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

// step is one call on a claim, as recorded.
type step struct {
	name string // take, finish or abandon.
	key  string
	mark string
}

// seen is what a call returned.
type seen string

const (
	seenDone    seen = "done"
	seenTaken   seen = "taken"  // Somebody holds it.
	seenRan     seen = "ran"    // Its answer is recorded.
	seenUnknown seen = "unsure" // The call may take effect now, later or never.
)

// register is a claim as callers should see it: free, held by a mark, or
// finished.
type register struct{ holder, finished string }

// claimModel says which histories are right.
func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, o := range h {
				k := o.Input.(step).key
				byKey[k] = append(byKey[k], o)
			}
			var out [][]porcupine.Operation
			for _, ops := range byKey {
				out = append(out, ops)
			}
			return out
		},
		Step: func(s, in, out any) []any {
			return nextRegisters(s.(register), in.(step), out.(seen))
		},
	}
	return m.ToModel()
}

func nextRegisters(r register, in step, out seen) []any {
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
	case seenDone:
		return effect
	case seenTaken:
		if r.holder != "" {
			return []any{r}
		}
		return nil
	case seenRan:
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

func (r *recorder) do(client int, in step, call func() seen) seen {
	begin := time.Since(r.start).Nanoseconds()
	out := call()
	end := time.Since(r.start).Nanoseconds()
	if out == seenUnknown {
		end = time.Hour.Nanoseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: begin, Return: end})
	return out
}

// contend lets clients take, finish and abandon the same few claims through
// a store that loses calls and answers.
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
		out := r.do(client, step{"take", key, mark}, func() seen {
			var err error
			claim, err = claims.Take(ctx, tarragondeal.ClaimKey{Key: key}, "digest")
			return outcome(err)
		})
		if out != seenDone {
			continue
		}
		in := step{"finish", key, mark}
		if choices.IntN(2) == 0 {
			in.name = "abandon"
		}
		r.do(client, in, func() seen {
			j := job{claim: claim, target: record{State: stateReleased, Mark: mark, Digest: "digest"}}
			if in.name == "finish" {
				j.target.State, j.target.Answer = stateFinished, &tarragondeal.Recorded{}
			}
			claims.retry(ctx, &j)
			return seenDone
		})
	}
}

func outcome(err error) seen {
	var taken *tarragondeal.ClaimError
	switch {
	case err == nil:
		return seenDone
	case !errors.As(err, &taken):
		return seenUnknown
	case taken.Ran == tarragondeal.RanYes:
		return seenRan
	default:
		return seenTaken
	}
}

var _ = Describe("recorded histories of contended claims", func() {
	unique := func(client, n int) string { return fmt.Sprint(client, "/", n) }
	for seed := range uint64(20) {
		It(fmt.Sprint("are linearizable with seed ", seed), func() {
			Expect(porcupine.CheckOperations(claimModel(), contend(seed, unique))).To(BeTrue())
		})
	}

	It("are told from those of calls that share a mark", func() {
		shared := func(int, int) string { return "mark" }
		var wrong int
		for seed := range uint64(20) {
			h := contend(seed, shared)
			for n := range h {
				in := h[n].Input.(step)
				in.mark = fmt.Sprint(h[n].ClientId)
				h[n].Input = in
			}
			if !porcupine.CheckOperations(claimModel(), h) {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically(">", 0))
	})
})
