package tdlisting

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

type fakeClock struct{ now tarragondeal.Instant }

func (c *fakeClock) Now() tarragondeal.Instant { return c.now }
func (c *fakeClock) Wall() time.Time           { return time.Unix(0, int64(c.now)).UTC() }

func decode(key string, value []byte) (tarragondeal.Server, error) {
	if string(value) == "invalid" {
		return tarragondeal.Server{}, errors.New("invalid")
	}
	return tarragondeal.Server{ID: tarragondeal.ServerID(key), State: tarragondeal.VMState(value)}, nil
}

// serverList is a Servers with the list that it last applied.
type serverList struct {
	*Servers
	clock   *fakeClock
	current []tarragondeal.Server
	rev     tarragondeal.Revision
}

func newServerList() *serverList {
	l := &serverList{clock: &fakeClock{now: tarragondeal.Instant(time.Hour)}}
	l.Servers = NewServers("s/", decode, l.clock, zerolog.Nop(), func(list []tarragondeal.Server) { l.current = list })
	return l
}

func (l *serverList) put(key, value string) {
	l.rev++
	l.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: key, Value: []byte(value), Revision: l.rev}}})
}

func (l *serverList) remove(key string, afterOutage bool) {
	l.rev++
	l.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: key, Revision: l.rev, Deleted: true}}, AfterOutage: afterOutage})
}

// TestServersExpiredDuringOutage checks that servers whose entries expired during an
// outage are kept for expiryGrace, and no longer.
func TestServersExpiredDuringOutage(t *testing.T) {
	for _, c := range []struct {
		name     string
		outage   bool
		after    time.Duration
		relisted bool
		want     int
	}{
		{"removed without an outage", false, 0, false, 0},
		{"expired within the grace period", true, expiryGrace / 2, false, 1},
		{"expired, not listed again", true, expiryGrace, false, 0},
		{"expired, listed again", true, expiryGrace, true, 1},
	} {
		l := newServerList()
		l.put("s/1", "live")
		l.remove("s/1", c.outage)
		if c.relisted {
			l.put("s/1", "live")
		}
		l.clock.now = l.clock.now.Add(c.after)
		l.removeExpired()
		if len(l.current) != c.want {
			t.Errorf("%s: %d servers", c.name, len(l.current))
		}
	}
}

// TestInvalidEntry checks that an invalid entry removes its server and leaves the
// others.
func TestInvalidEntry(t *testing.T) {
	l := newServerList()
	l.put("s/1", "live")
	l.put("s/2", "invalid")
	if len(l.current) != 1 {
		t.Errorf("%d servers", len(l.current))
	}
	l.put("s/1", "invalid")
	if len(l.current) != 0 {
		t.Errorf("%d servers", len(l.current))
	}
	l.put("other/1", "live")
	if len(l.current) != 0 {
		t.Error("a key outside the prefix lists a server")
	}
}

// TestConfigVersionNeverDecreases checks entries with an older revision, a lower
// version or an invalid value, and deleted entries.
func TestConfigVersionNeverDecreases(t *testing.T) {
	var applied []tarragondeal.Version
	c := NewConfig("config", &fakeClock{}, zerolog.Nop(), func(value []byte, active tarragondeal.Version) (tarragondeal.Version, error) {
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil || tarragondeal.Version(n) <= active {
			return 0, errors.New("invalid or old version")
		}
		applied = append(applied, tarragondeal.Version(n))
		return tarragondeal.Version(n), nil
	})
	for _, e := range []tarragondeal.Entry{
		{Key: "config", Value: []byte("3"), Revision: 5},
		{Key: "config", Value: []byte("2"), Revision: 4},
		{Key: "config", Value: []byte("x"), Revision: 6},
		{Key: "config", Revision: 7, Deleted: true},
		{Key: "config", Value: []byte("2"), Revision: 8},
		{Key: "config", Value: []byte("9"), Revision: 9},
	} {
		c.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{e}})
		c.applyPending()
	}
	if len(applied) != 2 || applied[1] != 9 || c.Version() != 9 {
		t.Errorf("applied versions are %v", applied)
	}
}

// TestNewestValidConfigurationIsApplied checks configurations that are received while an
// earlier one is decoded: only the newest valid one is decoded, also of more than are kept.
func TestNewestValidConfigurationIsApplied(t *testing.T) {
	for _, c := range []struct {
		name     string
		received []string // Values, by revision from 1.
		want     []string // Values that are decoded, in order.
		version  tarragondeal.Version
	}{
		{"one", []string{"1"}, []string{"1"}, 1},
		{"several", []string{"1", "2", "3"}, []string{"3"}, 3},
		{"the newest is invalid", []string{"1", "2", "x"}, []string{"x", "2"}, 2},
		{"all are invalid", []string{"x", "y"}, []string{"y", "x"}, 0},
		{"more than are kept", []string{"1", "2", "3", "4", "5", "6", "7"}, []string{"7"}, 7},
	} {
		var decoded []string
		config := NewConfig("config", &fakeClock{}, zerolog.Nop(), func(value []byte, _ tarragondeal.Version) (tarragondeal.Version, error) {
			decoded = append(decoded, string(value))
			n, err := strconv.ParseUint(string(value), 10, 64)
			return tarragondeal.Version(n), err
		})
		for n, value := range c.received {
			config.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: "config", Value: []byte(value), Revision: tarragondeal.Revision(n + 1)}}})
		}
		config.applyPending()
		if !slices.Equal(decoded, c.want) || config.Version() != c.version {
			t.Errorf("%s: %q are decoded, version %d is in force", c.name, decoded, config.Version())
		}
	}
}

// TestServerRemovedAfterOutageIsGoneInTime checks that a server that is removed some
// time after an outage is kept no longer than until live servers are listed again,
// which is counted from the end of the outage.
func TestServerRemovedAfterOutageIsGoneInTime(t *testing.T) {
	for _, since := range []time.Duration{0, time.Second, 1900 * time.Millisecond} {
		l := newServerList()
		end := l.clock.now
		l.put("s/1", "live")
		l.clock.now = end.Add(since)
		l.Follow(tdmirror.Changes{
			Entries: []tarragondeal.Entry{{Key: "s/1", Revision: 2, Deleted: true}}, AfterOutage: true, OutageEnd: end,
		})
		l.removeExpired()
		if len(l.current) != 1 {
			t.Errorf("removed %s after the outage: not kept", since)
		}
		l.clock.now = end.Add(relistTime)
		l.removeExpired()
		if len(l.current) != 0 {
			t.Errorf("removed %s after the outage: kept for %s", since, l.clock.now.Sub(end.Add(since)))
		}
	}
}

// TestServerWrittenAgain guards against a server that turns cold again for as long as before
// and passes for one whose entry is unchanged, also if the store was restored and gave the
// revision again, and against entries that a listing gives once more at the same revision and
// count as written again.
func TestServerWrittenAgain(t *testing.T) {
	l := newServerList()
	l.put("s/1", "live")
	first := l.current[0].ListedAt
	if first != l.clock.now {
		t.Errorf("listed at %d, not %d", first, l.clock.now)
	}
	l.clock.now = l.clock.now.Add(time.Second)
	l.put("s/2", "live")
	if l.current[0].ListedAt != first {
		t.Error("another server's entry changes when a server was listed")
	}
	l.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: "s/1", Value: []byte("live"), Revision: 1}}})
	if l.current[0].ListedAt != first {
		t.Error("an entry of the same revision counts as written again")
	}
	l.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: "s/1", Value: []byte("leaving"), Revision: 1}}})
	if l.current[0].ListedAt != l.clock.now {
		t.Error("another entry of the same revision, in a later era of the store, counts as read again")
	}
	l.clock.now = l.clock.now.Add(time.Second)
	l.put("s/1", "live")
	if l.current[0].ListedAt != l.clock.now {
		t.Error("an entry that was written again counts as the one before")
	}
}
