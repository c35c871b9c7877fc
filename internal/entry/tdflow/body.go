package tdflow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxFields bounds the top-level fields of a body, each of which is compared
// with those before it.
const maxFields = 256

// Body is the body of a call to a model: its top-level fields in their
// order, each as the caller wrote it.
type Body struct {
	Model     string
	Stream    bool
	MaxTokens int
	WantUsage bool // The caller asked a stream to tell its usage.

	fields []field
	size   int
}

type field struct {
	name string
	raw  json.RawMessage
}

// ParseBody reads a call's body, which must not change afterwards. Errors are safe to show to the caller: they
// repeat nothing of the body but names of fields.
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
	raw = text[end-len(raw) : end] // Prompts are large: don't keep a copy.
	for _, f := range b.fields {
		if f.name == name {
			return eris.Errorf("the body has the field %.40q twice", name)
		}
	}
	if len(b.fields) == maxFields {
		return eris.Errorf("the body has more than %d fields", maxFields)
	}
	b.fields = append(b.fields, field{name: name, raw: raw})
	return b.known(name, raw)
}

// known reads the fields that the router itself needs.
func (b *Body) known(name string, raw json.RawMessage) error {
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

// Prompt returns what the model is asked, as JSON.
func (b *Body) Prompt() []byte {
	if m := b.get("messages"); m != nil {
		return m
	}
	return b.get("prompt")
}

// rewriteRoom is what the router's own fields may add to a body.
const rewriteRoom = 256

// ForEngine returns the body as an engine gets it: the engine's own name of
// the model, the request's tier as its priority, the salt of the workspace's
// prefix cache, and usage told at a stream's end. All other fields stay as
// the caller wrote them.
func (b *Body) ForEngine(model string, tier int, salt string) []byte {
	var out bytes.Buffer
	out.Grow(b.size + rewriteRoom)
	out.WriteByte('{')
	put(&out, "model", quoted(model))
	put(&out, "priority", []byte(strconv.Itoa(tier)))
	put(&out, "cache_salt", quoted(salt))
	if b.Stream {
		put(&out, "stream_options", b.streamOptions())
	}
	for _, f := range b.fields {
		switch f.name {
		case "model", "priority", "cache_salt":
		case "stream_options":
			if !b.Stream {
				put(&out, f.name, f.raw)
			}
		default:
			put(&out, f.name, f.raw)
		}
	}
	out.WriteByte('}')
	return out.Bytes()
}

// streamOptions returns the caller's options of the stream with usage asked
// for.
func (b *Body) streamOptions() []byte {
	options := map[string]json.RawMessage{}
	if raw := b.get("stream_options"); raw != nil {
		// It was an object or null when the body was parsed.
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

func put(out *bytes.Buffer, name string, raw []byte) {
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
