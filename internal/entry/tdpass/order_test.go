package tdpass

import "testing"

func TestFollows(t *testing.T) {
	for _, c := range []struct {
		name, last, id string
		headSent       bool
		want           bool
	}{
		{"the first event", "", "7", false, true},
		{"the next event", "7", "8", true, true},
		{"a missing event", "7", "9", true, false},
		{"a repeated event", "7", "7", true, false},
		{"an earlier event", "7", "3", true, false},
		{"no ID", "7", "", true, true},
		{"not a number", "7", "x", true, false},
		{"resuming after the caller's last event", "12", "13", false, true},
		{"repeating the caller's last event", "12", "12", false, false},
	} {
		if got := follows(c.last, []byte(c.id), c.headSent); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
