package tdbody

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"tarragondeal"
)

// TestBodyOverLimit guards against a part of a body that is taken for the whole.
func TestBodyOverLimit(t *testing.T) {
	const limit = 10
	for _, n := range []int{0, limit - 1, limit, limit + 1, 100 * limit} {
		body, err := Read(iotest.HalfReader(strings.NewReader(strings.Repeat("x", n))), limit)
		_, tooLarge := errors.AsType[*tarragondeal.AnswerSizeError](err)
		if tooLarge != (n > limit) || !tooLarge && (err != nil || len(body) != n) {
			t.Errorf("%d bytes: %d read, %v", n, len(body), err)
		}
	}
	cut := errors.New("cut")
	if body, err := Read(iotest.ErrReader(cut), limit); !errors.Is(err, cut) || body != nil {
		t.Errorf("a body that breaks: %d bytes, %v", len(body), err)
	}
}
