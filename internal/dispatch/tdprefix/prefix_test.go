package tdprefix_test

import (
	"fmt"

	"tarragondeal/internal/dispatch/tdprefix"
)

func ExampleHistory() {
	h, err := tdprefix.New(100)
	if err != nil {
		fmt.Println(err)
		return
	}
	h.Add("server1", []uint64{10, 20, 30, 40})
	m := h.Match([]uint64{10, 20, 31, 41})
	fmt.Println(m.Has("server1"), m.Has("server2"), m.Fraction)
	h.Remove("server1", 20)
	m = h.Match([]uint64{10, 20, 31, 41})
	fmt.Println(m.Has("server1"), m.Fraction)
	// Output:
	// true false 0.5
	// true 0.25
}
