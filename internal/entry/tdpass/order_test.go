package tdpass

import "testing"

func TestFollows(t *testing.T) {
	for _, c := range []struct {
		name, last, id string
		begun          bool
		want           bool
	}{
		{"the first event", "", "7", false, true},
		{"the next one", "7", "8", true, true},
		{"one is missing", "7", "9", true, false},
		{"the same again", "7", "7", true, false},
		{"an earlier one", "7", "3", true, false},
		{"no number", "7", "", true, true},
		{"not a number", "7", "x", true, false},
		{"after a caller's last event", "12", "13", false, true},
		{"a caller's last event again", "12", "12", false, false},
	} {
		if got := follows(c.last, []byte(c.id), c.begun); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
