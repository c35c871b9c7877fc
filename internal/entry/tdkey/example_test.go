package tdkey_test

import (
	"fmt"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
)

func Example() {
	text, key, err := tdkey.Issue("depot", "roadside")
	if err != nil {
		fmt.Println(err)
		return
	}
	view := tarragondeal.NewView(1, &tarragondeal.Set{Keys: []tarragondeal.Key{key}})
	k, err := tdkey.Check(view, text)
	fmt.Println(k.Workspace, err)
	fmt.Println(tdkey.Contains([]byte("https://example.net/?key=" + text)))
	// Output:
	// roadside <nil>
	// true
}
