package tdfit

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
)

// TestInvalidNoticesAreLoggedOnce guards against a line for each answer of a server that
// sends an invalid notice with all of them, and against records that are kept for ever.
func TestInvalidNoticesAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	w := newTestFit(0)
	w.Log = zerolog.New(&log)
	wall := w.clock.Wall()
	for n := range 3 { // Runs of one server.
		list := started(wall.Add(time.Duration(n) * time.Second))
		w.SetServers(list)
		for range 5 {
			w.ObserveInvalid(list[0], "r", tarragondeal.NoticeLimit, errors.New("not a number"))
			w.ObserveInvalid(list[0], "r", tarragondeal.NoticePause, errors.New("negative"))
		}
	}
	if lines := bytes.Count(log.Bytes(), []byte("invalid notice")); lines != 6 {
		t.Errorf("%d lines, want one for each kind and run: 6", lines)
	}
	if len(w.invalid) != 1 {
		t.Errorf("%d runs are kept, want that which is listed", len(w.invalid))
	}
}
