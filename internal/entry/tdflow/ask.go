package tdflow

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

const (
	// bytesPerToken turns a prompt's length into an estimate of its tokens.
	bytesPerToken = 4
	// defaultOutput is the estimated length of an answer, in tokens, when the
	// caller sets no bound.
	defaultOutput = 256
	// prefixBlock is the length, in bytes, after which a digest of a long
	// message's beginning is taken.
	prefixBlock = 4 << 10
	// maxPrefix bounds the digests of one prompt.
	maxPrefix = 64
	// saltBytes is the length of a workspace's cache salt.
	saltBytes = 16
)

// Salt returns the salt of a workspace's prefix cache. All nodes derive the
// same one.
func Salt(workspace string) string {
	h := hmac.New(sha256.New, []byte("tarragondeal cache salt"))
	h.Write([]byte(workspace))
	return hex.EncodeToString(h.Sum(nil)[:saltBytes])
}

// Prefix returns digests of growing prefixes of a prompt, shortest first: one
// after each message and one after each block of a long message.
func Prefix(workspace string, prompt []byte) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	var out []uint64
	for _, m := range firstMessages(prompt) {
		for len(m) > 0 && len(out) < maxPrefix {
			n := min(prefixBlock, len(m))
			_, _ = h.Write(m[:n])
			m = m[n:]
			out = append(out, h.Sum64())
		}
	}
	return out
}

// firstMessages returns the messages of a prompt, and no more of them than
// there can be digests. A prompt that is no list is one message.
func firstMessages(prompt []byte) []json.RawMessage {
	whole := []json.RawMessage{prompt}
	dec := json.NewDecoder(bytes.NewReader(prompt))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		return whole
	}
	var out []json.RawMessage
	for len(out) < maxPrefix && dec.More() {
		var m json.RawMessage
		if dec.Decode(&m) != nil {
			return whole
		}
		out = append(out, m)
	}
	return out
}

// Fingerprint names a body and its workspace.
func Fingerprint(workspace, path string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(path), body} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// Work returns the estimated work of a request, in tokens.
func (q *Request) Work() int {
	if q.Model == nil {
		return 1 + len(q.Body)/bytesPerToken
	}
	output := q.Model.MaxTokens
	if output <= 0 {
		output = defaultOutput
	}
	return q.inputEstimate() + output
}

func (q *Request) inputEstimate() int {
	if q.Model == nil {
		return 0
	}
	return 1 + len(q.Model.Prompt())/bytesPerToken
}

// ask returns what the request needs a server for, but for the times, which
// are set for each attempt.
func (q *Request) ask(places []string) tarragondeal.Ask {
	a := tarragondeal.Ask{
		Request: q.ID, Workspace: q.Workspace.Name, Weight: q.Workspace.Weight,
		Route: q.Route.Name, Class: q.Class.Name, Tier: q.Class.Tier, MinShare: q.Class.MinShare,
		Pools: q.Route.Pools, DataCentres: places, Work: float64(q.Work()),
		Fingerprint: Fingerprint(q.Workspace.Name, q.Path, q.Body), Idempotent: !q.Route.NonIdempotent,
		Shares: q.Route.Shares, Parts: q.Parts, Input: q.Input, Output: q.Output,
	}
	if q.Class.Events {
		a.Gap = time.Duration(q.Class.BetweenTokens)
	}
	if q.Workspace.Tier > 0 {
		a.Tier = q.Workspace.Tier
	}
	if q.Model != nil {
		a.Prefix = Prefix(q.Workspace.Name, q.Model.Prompt())
	}
	return a
}
