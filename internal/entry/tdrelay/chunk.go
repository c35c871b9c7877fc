package tdrelay

import (
	"bytes"
	"encoding/json"
)

// maxChoice bounds the choices of one answer that are told apart.
const maxChoice = 63

// maxTokens bounds what one answer can have taken.
const maxTokens = 100_000_000

// Usage is what a model engine says an answer took.
type Usage struct {
	Input  int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	Detail struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// possible reports whether an answer can have taken that much. What is billed
// must not shrink or overflow by what a server tells.
func (u *Usage) possible() bool {
	return min(u.Input, u.Output, u.Detail.Cached) >= 0 && max(u.Input, u.Output, u.Detail.Cached) <= maxTokens
}

// chunk is what one event's data says of the answer. It is found by looking
// for the names of fields, without decoding the event, so that the length of
// an answer costs no memory. In valid JSON a quote inside a text is escaped,
// so a name between bare quotes and before a colon is a field's name.
type chunk struct {
	valid   bool
	done    bool
	failed  bool // The engine reports an error.
	choices bool // The event is about a choice.
	index   int
	usage   *Usage
	id      []byte
	finish  []byte
	parts   [3][]byte // Of the answer's text, by partNames.
	tools   []byte    // From the calls of tools on.
}

// partNames are the fields that hold a part of an answer's text.
var partNames = [3]string{"content", "text", "reasoning_content"}

func look(data []byte) chunk {
	if bytes.Equal(data, []byte("[DONE]")) {
		return chunk{valid: true, done: true}
	}
	if !json.Valid(data) {
		return chunk{}
	}
	c := chunk{valid: true, usage: usage(data)}
	choices, ok := value(data, "choices")
	// Further identifiers may stand among the choices.
	c.id = text(data[:len(data)-len(choices)], "id")
	if !ok {
		_, c.failed = value(data, "error")
		return c
	}
	list, ok := bytes.CutPrefix(choices, []byte("["))
	c.choices = ok && !bytes.HasPrefix(skipSpace(list), []byte("]"))
	if !c.choices {
		return c
	}
	c.index = index(choices)
	c.finish = text(choices, "finish_reason")
	for n, name := range partNames {
		c.parts[n] = text(choices, name)
	}
	if v, ok := value(choices, "tool_calls"); ok && !bytes.HasPrefix(v, []byte("null")) {
		c.tools = v
	}
	return c
}

// content reports whether the event carries a part of the answer.
func (c *chunk) content() bool {
	for _, p := range c.parts {
		if len(p) > 0 {
			return true
		}
	}
	return len(c.tools) > 0
}

// appendContent appends what the event says, but not the identifier and time
// that differ between two runs of a request.
func (c *chunk) appendContent(b []byte) []byte {
	b = append(b, byte(c.index), '"')
	for _, p := range c.parts {
		b = append(append(b, p...), '"') // A quote never stands bare in a text.
	}
	b = append(append(b, c.finish...), '"')
	return append(append(b, c.tools...), '"')
}

func skipSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t' || b[0] == '\r' || b[0] == '\n') {
		b = b[1:]
	}
	return b
}

// value returns what follows the first field of that name, and the rest.
func value(data []byte, name string) ([]byte, bool) {
	for rest := data; ; {
		n := bytes.Index(rest, []byte(name))
		if n < 0 {
			return nil, false
		}
		end := n + len(name)
		bare := n > 0 && rest[n-1] == '"' && (n == 1 || rest[n-2] != '\\')
		if bare && end < len(rest) && rest[end] == '"' {
			after := skipSpace(rest[end+1:])
			if len(after) > 0 && after[0] == ':' {
				return skipSpace(after[1:]), true
			}
		}
		rest = rest[end:]
	}
}

// text returns the text of the first field of that name, still escaped.
func text(data []byte, name string) []byte {
	v, ok := value(data, name)
	if !ok || len(v) == 0 || v[0] != '"' {
		return nil
	}
	for n := 1; n < len(v); n++ {
		switch v[n] {
		case '\\':
			n++
		case '"':
			return v[1:n]
		}
	}
	return nil
}

func index(choices []byte) int {
	v, _ := value(choices, "index")
	n := 0
	for _, c := range v {
		if c < '0' || c > '9' || n > maxChoice {
			break
		}
		n = 10*n + int(c-'0')
	}
	return min(n, maxChoice)
}

func usage(data []byte) *Usage {
	v, ok := value(data, "usage")
	if !ok || len(v) == 0 || v[0] != '{' {
		return nil
	}
	var u struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &u); err != nil || !u.Usage.possible() {
		return nil
	}
	return &u.Usage
}
