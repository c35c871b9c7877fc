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
	// bytesPerToken converts the length of a prompt to an estimate of its tokens.
	bytesPerToken = 4
	// defaultOutputTokens is the estimated length of an answer if the caller
	// sets no limit.
	defaultOutputTokens = 256
	// prefixBlockBytes is the block size at which the prefixes of a long
	// message are digested.
	prefixBlockBytes = 4 << 10
	// maxPrefixDigests bounds the number of digests of one prompt.
	maxPrefixDigests = 64
	// saltBytes is the length of a workspace's cache salt.
	saltBytes = 16
)

// Salt returns the prefix cache salt of a workspace. All nodes derive the same
// salt.
func Salt(workspace string) string {
	h := hmac.New(sha256.New, []byte("tarragondeal cache salt"))
	h.Write([]byte(workspace))
	return hex.EncodeToString(h.Sum(nil)[:saltBytes])
}

// Prefix returns digests of prefixes of a prompt, shortest first: one at the end
// of each message and one at the end of each block of a long message.
func Prefix(workspace string, prompt []byte) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	var out []uint64
	for _, m := range firstMessages(prompt) {
		for len(m) > 0 && len(out) < maxPrefixDigests {
			n := min(prefixBlockBytes, len(m))
			_, _ = h.Write(m[:n])
			m = m[n:]
			out = append(out, h.Sum64())
		}
	}
	return out
}

// firstMessages returns at most maxPrefixDigests messages of a prompt. A prompt
// that isn't a list is treated as one message.
func firstMessages(prompt []byte) []json.RawMessage {
	whole := []json.RawMessage{prompt}
	dec := json.NewDecoder(bytes.NewReader(prompt))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		return whole
	}
	var out []json.RawMessage
	for len(out) < maxPrefixDigests && dec.More() {
		var m json.RawMessage
		if dec.Decode(&m) != nil {
			return whole
		}
		out = append(out, m)
	}
	return out
}

// Fingerprint returns a hash of a request's workspace, path and body.
func Fingerprint(workspace, path string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(path), body} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// Work returns the estimated cost of a request in tokens, input and output.
func (q *Request) Work() int {
	if q.Model == nil {
		return 1 + len(q.Body)/bytesPerToken
	}
	output := q.Model.MaxTokens
	if output <= 0 {
		output = defaultOutputTokens
	}
	return q.inputEstimate() + output
}

func (q *Request) inputEstimate() int {
	if q.Model == nil {
		return 0
	}
	return 1 + len(q.Model.Prompt())/bytesPerToken
}

// Ask returns the reservation request for q. The attempt's number and times
// are set per attempt.
func (q *Request) Ask(dataCentres []string) tarragondeal.Ask {
	a := tarragondeal.Ask{
		Request: q.ID, Workspace: q.Workspace.Name, Weight: q.Workspace.Weight,
		Route: q.Route.Name, Class: q.Class.Name, Tier: q.Class.Tier, MinShare: q.Class.MinShare,
		Pools: q.Route.Pools, DataCentres: dataCentres, Work: float64(q.Work()),
		Fingerprint: Fingerprint(q.Workspace.Name, q.Path, q.Body), Idempotent: !q.Route.NonIdempotent,
		Shares: q.Route.Shares, Parts: q.Parts, Input: q.Input, Output: q.Output, OutputHint: q.OutputHint, Software: q.Software,
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
