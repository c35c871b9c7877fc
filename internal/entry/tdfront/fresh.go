package tdfront

import "tarragondeal"

// view returns the set in force, or why requests can't be admitted by one: a
// node that may have missed a withdrawal for too long admits nobody.
func (f *Front) view() (*tarragondeal.View, error) {
	v := f.Config.View()
	if v == nil {
		return nil, refused(tarragondeal.ReasonNotReady, "no set of objects is in force yet")
	}
	if fresh, ok := f.Config.(tarragondeal.Freshness); ok && fresh.Stale() {
		return nil, refused(tarragondeal.ReasonNotReady, "the node may have missed a newer set of objects")
	}
	return v, nil
}
