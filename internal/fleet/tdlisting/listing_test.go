package tdlisting

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

type hand struct{ now tarragondeal.Instant }

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, int64(h.now)).UTC() }

func decode(key string, value []byte) (tarragondeal.Server, error) {
	if string(value) == "odd" {
		return tarragondeal.Server{}, errors.New("odd")
	}
	return tarragondeal.Server{ID: tarragondeal.ServerID(key), State: tarragondeal.VMState(value)}, nil
}

type listed struct {
	*Servers
	clock *hand
	now   []tarragondeal.Server
	rev   tarragondeal.Revision
}

func newListed() *listed {
	l := &listed{clock: &hand{now: tarragondeal.Instant(time.Hour)}}
	l.Servers = NewServers("s/", decode, l.clock, zerolog.Nop(), func(list []tarragondeal.Server) { l.now = list })
	return l
}

func (l *listed) put(key, value string) {
	l.rev++
	l.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: key, Value: []byte(value), Revision: l.rev}}})
}

func (l *listed) remove(key string, doubtful bool) {
	l.rev++
	l.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: key, Revision: l.rev, Deleted: true}}, AfterOutage: doubtful})
}

// TestServersThatLapsedDuringAnOutage checks that such servers stay for as long
// as they may come back, and no longer.
func TestServersThatLapsedDuringAnOutage(t *testing.T) {
	for _, c := range []struct {
		name     string
		doubtful bool
		after    time.Duration
		back     bool
		want     int
	}{
		{"removed in order", false, 0, false, 0},
		{"lapsed, just now", true, lapseWait / 2, false, 1},
		{"lapsed, and did not come back", true, lapseWait, false, 0},
		{"lapsed, and came back", true, lapseWait, true, 1},
	} {
		l := newListed()
		l.put("s/1", "live")
		l.remove("s/1", c.doubtful)
		if c.back {
			l.put("s/1", "live")
		}
		l.clock.now = l.clock.now.Add(c.after)
		l.giveUp()
		if len(l.now) != c.want {
			t.Errorf("%s: %d servers", c.name, len(l.now))
		}
	}
}

// TestEntryThatCanNotBeRead checks that it names no server, and that the others
// hold.
func TestEntryThatCanNotBeRead(t *testing.T) {
	l := newListed()
	l.put("s/1", "live")
	l.put("s/2", "odd")
	if len(l.now) != 1 {
		t.Errorf("%d servers", len(l.now))
	}
	l.put("s/1", "odd")
	if len(l.now) != 0 {
		t.Errorf("%d servers", len(l.now))
	}
	l.put("other/1", "live")
	if len(l.now) != 0 {
		t.Error("another key names a server")
	}
}

// TestConfigNeverGoesBack checks versions that come late, twice or unreadable.
func TestConfigNeverGoesBack(t *testing.T) {
	var inForce []tarragondeal.Version
	c := NewConfig("config", zerolog.Nop(), func(value []byte, before tarragondeal.Version) (tarragondeal.Version, error) {
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil || tarragondeal.Version(n) <= before {
			return 0, errors.New("not usable")
		}
		inForce = append(inForce, tarragondeal.Version(n))
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
	}
	if len(inForce) != 2 || inForce[1] != 9 || c.Version() != 9 {
		t.Errorf("in force were %v", inForce)
	}
}
