package tdquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdquarantine"
	_ "tarragondeal/internal/test/tdtestseed"
)

// TestPoison runs a request that crashes every server concurrently with
// harmless requests, with at most one suspect per server as in the queue.
// Notices arrive late and twice. It checks that exactly two servers crash and
// that no harmless request is refused.
func TestPoison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const poison = 1000
		table := tdquarantine.NewTable()
		var now tarragondeal.Instant
		crashed, run := 0, uint64(0)
		for {
			verdict, _ := table.Check(now, poison)
			if verdict == tdquarantine.Refused {
				break
			}
			if crashed++; crashed > 2 {
				t.Fatalf("%d servers crashed", crashed)
			}
			failed := []uint64{poison}
			for f := range rapid.Uint64Range(1, 5).Draw(t, "harmless") {
				if v, _ := table.Check(now, f+1); v == tdquarantine.Clear || verdict == tdquarantine.Clear {
					failed = append(failed, f+1)
				}
			}
			for _, f := range rapid.Permutation(failed).Draw(t, "order") {
				run++
				n := tdquarantine.Notice{Server: tarragondeal.ServerID(fmt.Sprint(crashed)), Run: run, Fingerprint: f}
				table.Add(now, n)
				now += tarragondeal.Instant(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "late"))
				table.Add(now, n)
			}
		}
		if crashed != 2 {
			t.Fatalf("refused after %d crashes", crashed)
		}
		for f := uint64(1); f <= 6; f++ {
			if v, _ := table.Check(now, f); v == tdquarantine.Refused {
				t.Fatalf("harmless request %d is refused", f)
			}
		}
	})
}

func TestTable(t *testing.T) {
	second := tarragondeal.Instant(time.Second)
	cases := []struct {
		name    string
		notices []tdquarantine.Notice
		served  bool
		at      tarragondeal.Instant
		want    tdquarantine.Verdict
	}{
		{"no crash", nil, false, 0, tdquarantine.Clear},
		{"one crash", []tdquarantine.Notice{{Server: "a", Run: 1}}, false, 0, tdquarantine.Suspect},
		{"duplicate notice", []tdquarantine.Notice{{Server: "a", Run: 1}, {Server: "a", Run: 1}}, false, 0, tdquarantine.Suspect},
		{"two runs in one crash", []tdquarantine.Notice{{Server: "a", Run: 1}, {Server: "a", Run: 2}}, false, 0, tdquarantine.Suspect},
		{"two servers", []tdquarantine.Notice{{Server: "a", Run: 1}, {Server: "b", Run: 2}}, false, 0, tdquarantine.Refused},
		{"served after crash", []tdquarantine.Notice{{Server: "a", Run: 1}}, true, 0, tdquarantine.Clear},
		{"suspicion expires", []tdquarantine.Notice{{Server: "a", Run: 1}}, false, 301 * second, tdquarantine.Clear},
		{"refusal outlasts suspicion", []tdquarantine.Notice{{Server: "a", Run: 1}, {Server: "b", Run: 2}}, false, 301 * second, tdquarantine.Refused},
		{"refusal expires", []tdquarantine.Notice{{Server: "a", Run: 1}, {Server: "b", Run: 2}}, false, 601 * second, tdquarantine.Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := tdquarantine.NewTable()
			for _, n := range c.notices {
				n.Fingerprint = 7
				table.Add(0, n)
			}
			if c.served {
				table.Served(7)
			}
			if got, _ := table.Check(c.at, 7); got != c.want {
				t.Fatalf("verdict %d, want %d", got, c.want)
			}
		})
	}
}
