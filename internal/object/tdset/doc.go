// Package tdset parses, checks and compares sets of configuration objects.
//
// # Usage
//
//	doc := tdset.Read("set.yaml", text)
//	for _, f := range doc.Faults {
//		// f.Path and f.Line locate the fault, f.Text describes it.
//	}
//	set, err := tdset.Parse("set.yaml", text)
//	var faults *tdset.FaultsError
//	if errors.As(err, &faults) {
//		// The same faults as an error.
//	}
//	for _, c := range tdset.Diff(before, set) {
//		fmt.Println(c)
//	}
//
// A set without faults is consistent: every name resolves, and each route can
// be served in a permitted data centre for at least one workspace. Warnings
// report parts of a consistent set that have no effect or are probably a
// mistake, such as a class that no route uses.
//
// The text of a set is untrusted input. Its size and nesting are limited before
// it is parsed. Anchors, aliases and tags are refused, so that a small text
// can't expand to a large set.
package tdset
