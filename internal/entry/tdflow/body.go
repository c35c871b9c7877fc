package tdflow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxFields bounds the top-level fields of a body. The check for duplicates
// compares each field with all earlier ones.
const maxFields = 256

// Body is the body of a call to a model. It keeps the top-level fields in order,
// each as the caller wrote it.
type Body struct {
	Model     string
	Stream    bool
	MaxTokens int
	WantUsage bool // The caller asked for usage at the end of a stream.

	fields []field
	size   int
}

type field struct {
	name string
	raw  json.RawMessage
}

// ParseBody parses the body of a call. The result refers to text, which must not
// be modified afterwards. Errors are safe to return to the caller: apart from
// field names they contain nothing of the body.
func ParseBody(text []byte) (*Body, error) {
	b := &Body{size: len(text)}
	dec := json.NewDecoder(bytes.NewReader(text))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, eris.New("the body is not a JSON object")
	}
	for dec.More() {
		if err := b.readField(dec, text); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, eris.New("the body's JSON is not complete")
	}
	if len(bytes.TrimLeft(text[dec.InputOffset():], " \t\r\n")) > 0 {
		return nil, eris.New("something follows the body's JSON object")
	}
	return b, nil
}

func (b *Body) readField(dec *json.Decoder, text []byte) error {
	t, err := dec.Token()
	name, ok := t.(string)
	if err != nil || !ok {
		return eris.Errorf("the body's JSON is wrong near byte %d", dec.InputOffset())
	}
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return eris.Errorf("the body's JSON is wrong or not complete near byte %d", dec.InputOffset())
	}
	end := int(dec.InputOffset())
	raw = text[end-len(raw) : end] // Prompts are large: refer to text instead of keeping a copy.
	for _, f := range b.fields {
		if f.name == name {
			return eris.Errorf("the body has the field %.40q twice", name)
		}
	}
	if len(b.fields) == maxFields {
		return eris.Errorf("the body has more than %d fields", maxFields)
	}
	b.fields = append(b.fields, field{name: name, raw: raw})
	return b.parseKnown(name, raw)
}

// parseKnown decodes the fields that the router uses itself.
func (b *Body) parseKnown(name string, raw json.RawMessage) error {
	var err error
	switch name {
	case "model":
		err = json.Unmarshal(raw, &b.Model)
	case "stream":
		err = json.Unmarshal(raw, &b.Stream)
	case "max_tokens", "max_completion_tokens":
		err = json.Unmarshal(raw, &b.MaxTokens)
	case "stream_options":
		var o struct {
			Usage bool `json:"include_usage"`
		}
		err = json.Unmarshal(raw, &o)
		b.WantUsage = o.Usage
	}
	if err != nil {
		return eris.Errorf("the body's field %q has the wrong type", name)
	}
	return nil
}

func (b *Body) get(name string) json.RawMessage {
	for _, f := range b.fields {
		if f.name == name {
			return f.raw
		}
	}
	return nil
}

// Prompt returns the messages or the prompt of the call as JSON, or nil.
func (b *Body) Prompt() []byte {
	if m := b.get("messages"); m != nil {
		return m
	}
	return b.get("prompt")
}

// rewriteOverhead is the space in bytes for the fields that the router adds to a
// body.
const rewriteOverhead = 256

// ForEngine returns the body to send to an engine. It sets the engine's name of
// the model, the request's tier as its priority and the workspace's cache salt,
// and asks for usage at the end of a stream. All other fields stay as the caller
// wrote them.
func (b *Body) ForEngine(model string, tier int, salt string) []byte {
	var out bytes.Buffer
	out.Grow(b.size + rewriteOverhead)
	out.WriteByte('{')
	writeField(&out, "model", quoted(model))
	writeField(&out, "priority", []byte(strconv.Itoa(tier)))
	writeField(&out, "cache_salt", quoted(salt))
	if b.Stream {
		writeField(&out, "stream_options", b.streamOptions())
	}
	for _, f := range b.fields {
		switch f.name {
		case "model", "priority", "cache_salt":
		case "stream_options":
			if !b.Stream {
				writeField(&out, f.name, f.raw)
			}
		default:
			writeField(&out, f.name, f.raw)
		}
	}
	out.WriteByte('}')
	return out.Bytes()
}

// streamOptions returns the caller's stream options with include_usage set.
func (b *Body) streamOptions() []byte {
	options := map[string]json.RawMessage{}
	if raw := b.get("stream_options"); raw != nil {
		// parseKnown has checked that it is an object or null.
		_ = json.Unmarshal(raw, &options)
	}
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	text, err := json.Marshal(options)
	if err != nil {
		return []byte(`{"include_usage":true}`)
	}
	return text
}

func writeField(out *bytes.Buffer, name string, raw []byte) {
	if out.Len() > 1 {
		out.WriteByte(',')
	}
	out.Write(quoted(name))
	out.WriteByte(':')
	out.Write(raw)
}

func quoted(s string) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Appendf(nil, "%q", s)
	}
	return text
}
