package tdlisting

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
	_ "tarragondeal/internal/test/tdtestseed"
)

// sentCopy is a copy of the store on its way to a node.
type sentCopy struct {
	entries []tarragondeal.Entry
	rev     tarragondeal.Revision
	whole   bool
}

// storeLog is all changes of a store, by revision.
type storeLog []tarragondeal.Entry

func (l *storeLog) add(key, value string, deleted bool) {
	*l = append(*l, tarragondeal.Entry{Key: key, Value: []byte(value), Revision: tarragondeal.Revision(len(*l) + 1), Deleted: deleted})
}

// at returns the entries that the store held at a revision.
func (l storeLog) at(rev tarragondeal.Revision) map[string]tarragondeal.Entry {
	out := make(map[string]tarragondeal.Entry)
	for _, e := range l[:rev] {
		out[e.Key] = e
		if e.Deleted {
			delete(out, e.Key)
		}
	}
	return out
}

// TestLateCopiesDoNotGoBack checks the configuration and the servers of a node that
// receives copies from several sources, late and repeated, while operators write
// older versions and invalid values and servers restart under the same key. Versions
// and the start of a server must only increase, and in the end the node must have
// what the store holds.
func TestLateCopiesDoNotGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &fakeClock{now: 1}
		mirror := tdmirror.New(nil, clock, tdmirror.Options{Prefixes: []string{"config", "s/"}, Log: zerolog.Nop()})
		latest := tarragondeal.Version(0)
		config := NewConfig("config", &fakeClock{}, zerolog.Nop(), func(value []byte, active tarragondeal.Version) (tarragondeal.Version, error) {
			n, err := strconv.ParseUint(string(value), 10, 64)
			if err != nil || tarragondeal.Version(n) <= active {
				return 0, errors.New("invalid or old version")
			}
			if tarragondeal.Version(n) <= latest {
				t.Fatalf("version %d is applied after %d", n, latest)
			}
			latest = tarragondeal.Version(n)
			return latest, nil
		})
		started := make(map[tarragondeal.ServerID]string)
		var current []tarragondeal.Server
		servers := NewServers("s/", decode, clock, zerolog.Nop(), func(list []tarragondeal.Server) {
			current = list
			for _, s := range list {
				if len(s.State) < len(started[s.ID]) || len(s.State) == len(started[s.ID]) && string(s.State) < started[s.ID] {
					t.Fatalf("server %s goes back from %s to %s", s.ID, started[s.ID], s.State)
				}
				started[s.ID] = string(s.State)
			}
		})
		mirror.Subscribe(config.Follow)
		mirror.Subscribe(servers.Follow)
		var log storeLog
		var copies []sentCopy
		send := func(rev tarragondeal.Revision) {
			c := sentCopy{rev: rev, whole: mirror.Position().Revision == 0 || rapid.Bool().Draw(t, "whole")}
			if c.whole {
				c.entries = slices.Collect(maps.Values(log.at(rev)))
			} else if after := mirror.Position().Revision; after < rev {
				c.entries = log[after:rev]
			}
			copies = append(copies, c)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprintf("s/%d", rapid.IntRange(0, 3).Draw(t, "server"))
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				log.add("config", strconv.Itoa(rapid.IntRange(1, 30).Draw(t, "version")), false)
			case 1:
				log.add("config", "invalid", rapid.Bool().Draw(t, "deleted"))
			case 2, 3:
				log.add(key, strconv.Itoa(len(log)), false) // The time of its start.
			case 4:
				log.add(key, "", true)
			case 5, 6:
				send(tarragondeal.Revision(rapid.IntRange(0, len(log)).Draw(t, "revision of the source")))
			case 7:
				if len(copies) > 0 {
					c := rapid.SampledFrom(copies).Draw(t, "copy")
					mirror.Apply(c.entries, tarragondeal.Position{Revision: c.rev}, c.whole)
				}
			case 8:
				config.applyPending()
			}
		}
		send(tarragondeal.Revision(len(log)))
		last := copies[len(copies)-1]
		mirror.Apply(last.entries, tarragondeal.Position{Revision: last.rev}, last.whole)
		config.applyPending()
		held := log.at(tarragondeal.Revision(len(log)))
		if n, err := strconv.ParseUint(string(held["config"].Value), 10, 64); err == nil && config.Version() < tarragondeal.Version(n) {
			t.Fatalf("version %d is in force, the store has %d", config.Version(), n)
		}
		delete(held, "config")
		for _, s := range current {
			if string(held[string(s.ID)].Value) != string(s.State) {
				t.Fatalf("server %s is %s, the store has %s", s.ID, s.State, held[string(s.ID)].Value)
			}
		}
		if len(current) != len(held) {
			t.Fatalf("%d servers, the store has %d", len(current), len(held))
		}
	})
}
