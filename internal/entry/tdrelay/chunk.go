package tdrelay

import (
	"bytes"
	"encoding/json"
)

// maxChoice bounds the choices of one answer that are told apart.
const maxChoice = 63

// Usage is what a model engine says an answer took.
type Usage struct {
	Input  int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	Detail struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// chunk is what one event's data says of the answer. It is found by looking
// for the names of fields, without decoding the event, so that the length of
// an answer costs no memory. In valid JSON a quote inside a text is escaped,
// so a name between bare quotes and before a colon is a field's name.
type chunk struct {
	valid    bool
	done     bool
	failed   bool // The engine reports an error.
	content  bool // The event carries a part of the answer.
	choices  bool
	index    int
	finished bool
	usage    *Usage
	id       []byte
}

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
	c.choices = !bytes.HasPrefix(bytes.TrimLeft(choices, "[ \t\r\n"), []byte("]"))
	if !c.choices {
		return c
	}
	c.index = index(choices)
	c.finished = len(text(choices, "finish_reason")) > 0
	c.content = len(text(choices, "content")) > 0 || len(text(choices, "text")) > 0 ||
		len(text(choices, "reasoning_content")) > 0 || has(choices, "tool_calls")
	return c
}

func has(data []byte, name string) bool {
	v, ok := value(data, name)
	return ok && !bytes.HasPrefix(v, []byte("null"))
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
			after := bytes.TrimLeft(rest[end+1:], " \t\r\n")
			if len(after) > 0 && after[0] == ':' {
				return bytes.TrimLeft(after[1:], " \t\r\n"), true
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
	if err := json.Unmarshal(data, &u); err != nil {
		return nil
	}
	return &u.Usage
}
