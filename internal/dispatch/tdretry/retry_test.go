package tdretry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdretry"
	_ "tarragondeal/internal/test/tdtestseed"
)

type clock struct{ now tarragondeal.Instant }

func (c *clock) Now() tarragondeal.Instant { return c.now }
func (c *clock) Wall() time.Time           { return time.Time{} }

// TestBudget checks for random arrivals that there are no more retries than the
// burst, the ratio of the requests and PerSecond permit.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{}
		b := tdretry.New(tdretry.Options{Ratio: 0.1, Burst: 5, PerSecond: 0.5}, c)
		seen, taken := 0, 0
		for range 300 {
			c.now += tarragondeal.Instant(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "wait"))
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest()
				seen++
			}
			if b.Take() {
				taken++
			}
			if most := 5 + 0.1*float64(seen) + 0.5*time.Duration(c.now).Seconds(); float64(taken) > most+1e-6 {
				t.Fatalf("%d retries, at most %g", taken, most)
			}
		}
		if taken < 5 {
			t.Fatalf("only %d retries of a burst of 5", taken)
		}
	})
}

func ExampleBudget() {
	b := tdretry.New(tdretry.Options{Burst: 1}, &clock{})
	fmt.Println(b.Take(), b.Take())
	// Output: true false
}
