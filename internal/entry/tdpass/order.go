package tdpass

import "strconv"

// follows reports whether the event id may follow the event last. IDs are numbers
// that increase by one. If nothing has been sent to the caller and last is empty,
// any ID may follow.
func follows(last string, id []byte, headSent bool) bool {
	if len(id) == 0 || last == "" && !headSent {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true // last is not a number, so the order can't be checked.
	}
	now, err := strconv.ParseUint(string(id), 10, 64)
	return err == nil && now == before+1
}
