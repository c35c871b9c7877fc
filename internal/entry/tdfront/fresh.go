package tdfront

import "tarragondeal"

// view returns the current configuration. It returns an error if there is none,
// or if the node may have missed updates for too long: it could then admit a key
// that has been withdrawn.
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
