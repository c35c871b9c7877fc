package tdpass

import (
	"strconv"

	"tarragondeal/internal/entry/tdrelay"
)

// order is the order of the events of one answer. IDs are numbers that increase by
// one.
type order struct {
	last     string // ID of the last event sent, or the one after which the caller resumes.
	sent     bool   // An event has been sent.
	unplaced bool   // An event without an ID has been sent.
}

// isComment reports whether an event has no effect at the caller.
func isComment(ev *tdrelay.Event) bool { return len(ev.ID) == 0 && ev.Data == nil }

// follows reports whether ev may be sent next. If continues is set, ev is of another
// run than the events before it, so its place must be known.
func (o *order) follows(ev *tdrelay.Event, continues bool) bool {
	if isComment(ev) {
		return true
	}
	if continues && (len(ev.ID) == 0 || !o.continuable()) {
		return false
	}
	if len(ev.ID) == 0 || o.last == "" {
		return true
	}
	before, err := strconv.ParseUint(o.last, 10, 64)
	if err != nil {
		return true // The order can't be checked.
	}
	now, err := strconv.ParseUint(string(ev.ID), 10, 64)
	return err == nil && now == before+1
}

// isForeign reports whether ev is no part of a stream that ends with its connection. A server
// that fails in the middle may write an error there, with or without its head.
func (o *order) isForeign(ev *tdrelay.Event) bool {
	return ev.Head || o.sent && ev.Unknown && ev.Data == nil
}

// add records that ev has been sent.
func (o *order) add(ev *tdrelay.Event) {
	switch {
	case isComment(ev):
		return
	case len(ev.ID) == 0:
		o.unplaced = true
	default:
		o.last = string(ev.ID)
	}
	o.sent = true
}

// continuable reports whether it is known which event of another run would follow.
func (o *order) continuable() bool {
	return !o.sent || o.numbered() && !o.unplaced
}

// numbered reports whether the last ID is a number, so that the place of the next
// event can be checked.
func (o *order) numbered() bool {
	_, err := strconv.ParseUint(o.last, 10, 64)
	return err == nil
}
