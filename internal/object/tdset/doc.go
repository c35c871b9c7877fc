// Package tdset reads sets of objects, checks them as a whole and compares
// them.
//
// # Usage
//
//	doc := tdset.Read("set.yaml", text)
//	for _, f := range doc.Faults {
//		// f.Path, f.Line and f.Text say what is wrong, and where.
//	}
//	set, err := tdset.Parse("set.yaml", text)
//	var faults *tdset.FaultsError
//	if errors.As(err, &faults) {
//		// The same faults, as one error.
//	}
//	for _, c := range tdset.Diff(before, set) {
//		fmt.Println(c)
//	}
//
// A set that passes is consistent: every name resolves, and each route can
// be served in a permitted data centre for at least one workspace. Warnings
// name what is consistent and yet of no use, such as a class that no route
// uses.
//
// Sets are untrusted text. Its size and nesting are bounded before it is
// parsed, and anchors, aliases and tags are refused, so that a small text
// can't stand for a large set.
package tdset
