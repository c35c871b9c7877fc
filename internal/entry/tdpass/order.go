package tdpass

import "strconv"

// follows reports whether an event may come after the one called last. Numbers
// rise by one. The first event of an answer that nothing came before may have
// any number.
func follows(last string, id []byte, begun bool) bool {
	if len(id) == 0 || last == "" && !begun {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true // Not numbered as agreed: nothing can be said.
	}
	now, err := strconv.ParseUint(string(id), 10, 64)
	return err == nil && now == before+1
}
