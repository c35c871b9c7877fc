package tdmirror

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// confirmInterval is the least time between two calls of Confirm to the service.
	confirmInterval = 100 * time.Millisecond
	// confirmTimeout bounds one of them.
	confirmTimeout = 400 * time.Millisecond
	// confirmCallWait is the wait of the watch that confirms the copy: it returns at once,
	// with the changes that the copy lacks or with none.
	confirmCallWait = time.Millisecond
)

// confirmation is the state of Confirm.
type confirmation struct {
	// turn holds a token while no call is under way.
	turn chan struct{}
	// begun is when the last call began that was answered, and last when any did. Both are
	// used by the holder of the token only.
	begun, last tarragondeal.Instant
}

func newConfirmation() confirmation {
	c := confirmation{turn: make(chan struct{}, 1)}
	c.turn <- struct{}{}
	return c
}

// Confirm makes the entries with the prefix Options.Confirmed as new as the service's at the time
// of the call. What was received before says nothing of that, however short a time ago it
// was read: it may have waited while this process stood still. Calls at about the same time share
// one call to the service.
func (m *Mirror) Confirm(ctx context.Context) error {
	asked := m.clock.Now()
	c := &m.confirmation
	select {
	case <-c.turn:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait to confirm the copy of the store")
	}
	defer func() { c.turn <- struct{}{} }()
	if c.begun > asked {
		return nil
	}
	if !tdclock.Sleep(ctx, c.last.Add(confirmInterval).Sub(m.clock.Now())) {
		return eris.Wrap(ctx.Err(), "wait to confirm the copy of the store")
	}
	begun := m.clock.Now()
	c.last = begun
	if err := m.confirm(ctx); err != nil {
		return err
	}
	c.begun = begun
	return nil
}

func (m *Mirror) confirm(ctx context.Context) error {
	m.mu.Lock()
	listed, at := m.listed, m.position()
	m.mu.Unlock()
	if !listed || m.isSuspected() {
		return eris.New("the store is not listed")
	}
	ctx, timer := newAnswerTimer(ctx, m.clock, confirmTimeout)
	defer timer.stop()
	entries, reported, err := m.source.Watch(ctx, m.opt.Confirmed, at.Revision, confirmCallWait)
	m.opt.Scope.Counter("confirmations").Inc(1)
	if err != nil {
		return err
	}
	if m.suspectWatched(entries, at.Revision, reported) || m.opt.Eras.Known().Era != at.Era {
		return &tarragondeal.EraError{Op: "watch", Key: m.opt.Confirmed, Reported: reported, Known: at}
	}
	m.ApplyAhead(entries, at.Era)
	return nil
}
