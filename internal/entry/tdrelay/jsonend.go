package tdrelay

// jsonEnd finds the end of a JSON object, array or string that is read in parts.
type jsonEnd struct {
	depth           int // Open objects and arrays.
	quoted, escaped bool
	ended, extra    bool // The value has ended; something follows it.
}

// complete reports whether the text ended with the value.
func (e *jsonEnd) complete() bool { return e.ended && !e.extra }

// Write implements io.Writer. It returns no error.
func (e *jsonEnd) Write(text []byte) (int, error) {
	for _, b := range text {
		e.next(b)
	}
	return len(text), nil
}

func (e *jsonEnd) next(b byte) {
	switch {
	case e.escaped:
		e.escaped = false
	case e.quoted:
		e.escaped, e.quoted = b == '\\', b != '"'
		e.ended = !e.quoted && e.depth == 0
	case b == ' ' || b == '\t' || b == '\r' || b == '\n':
	case e.ended:
		e.extra = true
	case b == '"':
		e.quoted = true
	case b == '{' || b == '[':
		e.depth++
	case b == '}' || b == ']':
		e.depth--
		e.ended = e.depth <= 0
	}
}
