package tdrelay

import (
	"bytes"
	"encoding/json"
)

// maxChoiceIndex is the highest choice index that is tracked. Higher indexes
// are treated as this one, so that a uint64 holds one bit for each choice.
const maxChoiceIndex = 63

// maxUsageTokens bounds each token count that an engine may report.
const maxUsageTokens = 100_000_000

// Usage holds the token counts that a model engine reports for an answer.
type Usage struct {
	Input  int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	Detail struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// valid reports whether all counts are within 0 and maxUsageTokens. It keeps
// a faulty server from making the billed usage shrink or overflow.
func (u *Usage) valid() bool {
	return min(u.Input, u.Output, u.Detail.Cached) >= 0 && max(u.Input, u.Output, u.Detail.Cached) <= maxUsageTokens
}

// chunk holds the fields of one event's data that the relay needs. They are
// found by searching for field names instead of decoding the event, so that
// memory use does not grow with the length of an answer. In valid JSON a quote
// inside a string is escaped, so a name between unescaped quotes and before a
// colon is a field name.
type chunk struct {
	valid     bool
	done      bool
	failed    bool // The data is an error report of the engine.
	choices   bool // The list of choices is not empty.
	index     int
	usage     *Usage
	id        []byte
	finish    []byte
	contents  [3][]byte // Values of contentFields, still escaped.
	toolCalls []byte    // The data from the value of tool_calls on.
}

// contentFields are the names of the fields that hold text of the answer.
var contentFields = [3]string{"content", "text", "reasoning_content"}

// scanChunk returns the chunk in an event's data.
func scanChunk(data []byte) chunk {
	if bytes.Equal(data, []byte("[DONE]")) {
		return chunk{valid: true, done: true}
	}
	if !json.Valid(data) {
		return chunk{}
	}
	c := chunk{valid: true, usage: parseUsage(data)}
	choices, ok := fieldValue(data, "choices")
	// Fields named id may also occur within the choices.
	c.id = stringField(data[:len(data)-len(choices)], "id")
	if !ok {
		_, c.failed = fieldValue(data, "error")
		return c
	}
	list, ok := bytes.CutPrefix(choices, []byte("["))
	c.choices = ok && !bytes.HasPrefix(skipSpace(list), []byte("]"))
	if !c.choices {
		return c
	}
	c.index = choiceIndex(choices)
	c.finish = stringField(choices, "finish_reason")
	for n, name := range contentFields {
		c.contents[n] = stringField(choices, name)
	}
	if v, ok := fieldValue(choices, "tool_calls"); ok && !bytes.HasPrefix(v, []byte("null")) {
		c.toolCalls = v
	}
	return c
}

// hasContent reports whether the chunk has text or tool calls.
func (c *chunk) hasContent() bool {
	for _, p := range c.contents {
		if len(p) > 0 {
			return true
		}
	}
	return len(c.toolCalls) > 0
}

// appendContent appends the chunk's content to b, without the id and the
// creation time, which differ between two runs of a request.
func (c *chunk) appendContent(b []byte) []byte {
	b = append(b, byte(c.index), '"')
	for _, p := range c.contents {
		b = append(append(b, p...), '"') // The text has no unescaped quote, so this separates the fields.
	}
	b = append(append(b, c.finish...), '"')
	return append(append(b, c.toolCalls...), '"')
}

func skipSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t' || b[0] == '\r' || b[0] == '\n') {
		b = b[1:]
	}
	return b
}

// fieldValue returns the data from the value of the first field of that name
// on.
func fieldValue(data []byte, name string) ([]byte, bool) {
	for rest := data; ; {
		n := bytes.Index(rest, []byte(name))
		if n < 0 {
			return nil, false
		}
		end := n + len(name)
		quoted := n > 0 && rest[n-1] == '"' && (n == 1 || rest[n-2] != '\\')
		if quoted && end < len(rest) && rest[end] == '"' {
			after := skipSpace(rest[end+1:])
			if len(after) > 0 && after[0] == ':' {
				return skipSpace(after[1:]), true
			}
		}
		rest = rest[end:]
	}
}

// stringField returns the string value of the first field of that name, still
// escaped, or nil.
func stringField(data []byte, name string) []byte {
	v, ok := fieldValue(data, name)
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

// choiceIndex returns the first choice's index, at most maxChoiceIndex.
func choiceIndex(choices []byte) int {
	v, _ := fieldValue(choices, "index")
	n := 0
	for _, c := range v {
		if c < '0' || c > '9' || n > maxChoiceIndex {
			break
		}
		n = 10*n + int(c-'0')
	}
	return min(n, maxChoiceIndex)
}

// parseUsage returns the usage in data, or nil if there is none or it is not
// valid.
func parseUsage(data []byte) *Usage {
	v, ok := fieldValue(data, "usage")
	if !ok || len(v) == 0 || v[0] != '{' {
		return nil
	}
	var u struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &u); err != nil || !u.Usage.valid() {
		return nil
	}
	return &u.Usage
}
