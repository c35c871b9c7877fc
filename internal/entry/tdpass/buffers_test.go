package tdpass

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
	"tarragondeal/platform"
)

// endless is a body that doesn't end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = 'x'
	}
	return len(p), nil
}

// TestEndlessBodiesTogether guards against a node whose memory grows with the number of
// requests whose servers send bytes without end.
func TestEndlessBodiesTogether(t *testing.T) {
	const requests = 64
	var buffers Buffers
	var all []*Exchange
	sum := 0
	for n := range requests {
		x := New(Deps{Buffers: &buffers, Log: zerolog.Nop()}, platform.Caller{}, "x.example")
		all = append(all, x)
		if n%2 > 0 {
			events := x.events(&tarragondeal.Answer{Body: io.NopCloser(endless{})})
			_, err := events.Next()
			tooLarge, ok := errors.AsType[*tdrelay.EventSizeError](err)
			if !ok {
				t.Fatalf("request %d: %v", n, err)
			}
			sum += tooLarge.Limit
			continue
		}
		buffered, whole, err := x.buffer(&tarragondeal.Answer{Body: io.NopCloser(endless{})})
		if whole || err != nil || len(buffered) < minBuffered || len(buffered) > maxBufferedBytes+bufferStep {
			t.Fatalf("request %d: %d bytes, whole %t, %v", n, len(buffered), whole, err)
		}
		sum += len(buffered)
	}
	if limit := maxBuffered + requests*minBuffered; sum > limit {
		t.Errorf("%d bytes are buffered, %d may be", sum, limit)
	}
	for _, x := range all {
		x.End()
	}
	if n := buffers.get().Taken(); n != 0 {
		t.Errorf("%d bytes are taken after the end of all requests", n)
	}
}

// TestBufferedAnswers guards against answers that are changed or cut where they are
// buffered in several steps.
func TestBufferedAnswers(t *testing.T) {
	for _, size := range []int{0, 1, minBuffered - 1, minBuffered, minBuffered + 1, minBuffered + bufferStep, 10*bufferStep + 7} {
		body := make([]byte, size)
		for n := range body {
			body[n] = byte(n * 7)
		}
		x := New(Deps{Buffers: &Buffers{}, Log: zerolog.Nop()}, platform.Caller{}, "x.example")
		got, whole, err := x.buffer(&tarragondeal.Answer{Body: io.NopCloser(bytes.NewReader(body))})
		if !whole || err != nil || !bytes.Equal(got, body) {
			t.Errorf("%d bytes: %d, whole %t, %v", size, len(got), whole, err)
		}
		x.End()
	}
}

// TestBuffersOfWorkspaces guards against a workspace whose callers read slowly, or whose
// servers send without end, and that leaves no room for the events of another one.
func TestBuffersOfWorkspaces(t *testing.T) {
	var buffers Buffers
	next := func(workspace string) *Exchange {
		x := New(Deps{Buffers: &buffers, Log: zerolog.Nop()}, platform.Caller{}, "x.example")
		x.workspace = workspace
		return x
	}
	for range 64 {
		x := next("a")
		defer x.End()
		if _, _, err := x.buffer(&tarragondeal.Answer{Body: io.NopCloser(endless{})}); err != nil {
			t.Fatal(err)
		}
	}
	event := append(bytes.Repeat([]byte("x"), 200<<10), "\n\n"...)
	x := next("b")
	defer x.End()
	if _, err := x.events(&tarragondeal.Answer{Body: io.NopCloser(bytes.NewReader(event))}).Next(); err != nil {
		t.Errorf("another workspace: %v", err)
	}
}
