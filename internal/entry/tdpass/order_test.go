package tdpass

import (
	"testing"

	"tarragondeal/internal/entry/tdrelay"
)

// TestFollows guards against events that are missing, repeated or of two runs. Each
// case is checked within a run and for the first event of another run.
func TestFollows(t *testing.T) {
	data := []byte("x")
	for _, c := range []struct {
		name           string
		order          order
		event          tdrelay.Event
		want, wantNext bool
	}{
		{"the first event", order{}, tdrelay.Event{ID: []byte("7"), Data: data}, true, true},
		{"the next event", order{last: "7", sent: true}, tdrelay.Event{ID: []byte("8"), Data: data}, true, true},
		{"a missing event", order{last: "7", sent: true}, tdrelay.Event{ID: []byte("9"), Data: data}, false, false},
		{"a repeated event", order{last: "7", sent: true}, tdrelay.Event{ID: []byte("7"), Data: data}, false, false},
		{"an earlier event", order{last: "7", sent: true}, tdrelay.Event{ID: []byte("3"), Data: data}, false, false},
		{"no ID", order{last: "7", sent: true}, tdrelay.Event{Data: data}, true, false},
		{"no ID, no data", order{last: "7", sent: true}, tdrelay.Event{}, true, true},
		{"an ID without data", order{last: "7", sent: true}, tdrelay.Event{ID: []byte("9")}, false, false},
		{"not a number", order{last: "7", sent: true}, tdrelay.Event{ID: []byte("x"), Data: data}, false, false},
		{"after an event that isn't a number", order{last: "x", sent: true}, tdrelay.Event{ID: []byte("8"), Data: data}, true, false},
		{"after an event without an ID", order{last: "7", sent: true, unplaced: true}, tdrelay.Event{ID: []byte("8"), Data: data}, true, false},
		{"after an event without an ID, from the start", order{sent: true, unplaced: true}, tdrelay.Event{ID: []byte("1"), Data: data}, true, false},
		{"resuming after the caller's last event", order{last: "12"}, tdrelay.Event{ID: []byte("13"), Data: data}, true, true},
		{"repeating the caller's last event", order{last: "12"}, tdrelay.Event{ID: []byte("12"), Data: data}, false, false},
	} {
		if got := c.order.follows(&c.event, false); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
		if got := c.order.follows(&c.event, true); got != c.wantNext {
			t.Errorf("%s, of another run: %t", c.name, got)
		}
	}
}

// TestOrderOfSentEvents guards against a continuation after the wrong event.
func TestOrderOfSentEvents(t *testing.T) {
	data := []byte("x")
	for _, c := range []struct {
		name        string
		events      []tdrelay.Event
		last        string
		continuable bool
	}{
		{"nothing sent", nil, "12", true},
		{"only comments", []tdrelay.Event{{}, {}}, "12", true},
		{"numbered", []tdrelay.Event{{ID: []byte("13"), Data: data}, {}, {ID: []byte("14")}}, "14", true},
		{"one without an ID", []tdrelay.Event{{ID: []byte("13"), Data: data}, {Data: data}, {ID: []byte("14")}}, "14", false},
		{"not a number", []tdrelay.Event{{ID: []byte("x"), Data: data}}, "x", false},
	} {
		o := order{last: "12"}
		for n := range c.events {
			o.add(&c.events[n])
		}
		if o.last != c.last || o.continuable() != c.continuable {
			t.Errorf("%s: last %q, continuable %t", c.name, o.last, o.continuable())
		}
	}
}
