package tdcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragondeal"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcheck"
	"tarragondeal/internal/standin/tdengine"
)

// timeoutMargin is added to the deadline of the request class to get the
// caller's timeout.
const timeoutMargin = 5 * time.Second

// message is an HTTP request and the answer expected to it.
type message struct {
	path           string
	body           []byte
	idempotencyKey string
	stream         bool
	want           string // The complete text of a stream, else a part of the body.
	deadline       time.Duration
}

func (c *Callers) newMessage(n int, a Arrival) message {
	class := c.view.RequestClasses[c.view.Routes[a.Demand.Route].Class]
	m := message{deadline: time.Duration(class.Deadline)}
	id := fmt.Sprintf("q-%d", n)
	if c.view.Routes[a.Demand.Route].NonIdempotent {
		m.path = "/services/" + a.Demand.Route + "/enter"
		m.body = []byte(fmt.Sprintf(`{"id":%q}`, id))
		m.idempotencyKey, m.want = id, fmt.Sprintf(`"id":%q`, id)
		return m
	}
	text := id + " " + filler(a.Prompt)
	if a.Poison {
		text = tddeploy.CrashMarker
	}
	shared := fmt.Sprintf("workspace %d ", a.Workspace) + filler(a.Demand.PrefixBytes)
	messages := fmt.Sprintf(`[{"role":"system","content":%q},{"role":"user","content":%q}]`, shared, text)
	tokens := min(a.Tokens, a.Demand.MaxTokens)
	m.path, m.stream = "/v1/chat/completions", a.Demand.Stream
	m.body = []byte(fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"x_natural_tokens":%d,"messages":%s}`,
		a.Demand.Route, m.stream, a.Demand.MaxTokens, tokens, messages))
	m.want = strings.Join(tdengine.Words([]byte(messages), tokens), "")
	return m
}

func filler(n int) string { return strings.Repeat("chain ", n/6+1)[:max(n, 0)] }

// send sends the request and records its outcome in q. If the connection could
// not be made, nothing was sent, so it tries another entry VM.
func (c *Callers) send(ctx context.Context, m message, q *tdcheck.Request) {
	ctx, cancel := context.WithTimeout(ctx, m.deadline+timeoutMargin)
	defer cancel()
	q.Sent = time.Now()
	node := c.pickNode("")
	for range 8 {
		q.Node = node.Name
		res, err := c.post(ctx, node, m, q)
		if err == nil {
			c.read(res, m, q)
			_ = res.Body.Close()
			break
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			q.Broken = ctx.Err() == nil
			break
		}
		if !sleepUntil(ctx, time.Now().Add(20*time.Millisecond)) {
			break
		}
		node = c.pickNode(node.Name)
	}
	q.Ended = time.Now()
	q.Cancelled = ctx.Err() != nil
}

func (c *Callers) post(ctx context.Context, node Node, m message, q *tdcheck.Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Addr.String()+m.path, bytes.NewReader(m.body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // Prevents retries by the transport.
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+q.KeyText)
	if m.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", m.idempotencyKey)
	}
	return c.client.Do(req)
}

// read reads the answer and records it in q.
func (c *Callers) read(res *http.Response, m message, q *tdcheck.Request) {
	q.Status = res.StatusCode
	q.ServedIn = res.Header.Get("X-Served-Data-Centre")
	q.ServedBy = res.Header.Get("X-Served-By")
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		q.RetryAfter = time.Duration(s) * time.Second
	}
	if res.StatusCode == http.StatusOK && m.stream {
		readStream(res.Body, m, q)
		return
	}
	body, err := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		readError(body, q)
		return
	}
	q.Broken = err != nil
	q.Complete = err == nil
	q.Matches = bytes.Contains(body, []byte(m.want))
	q.FirstToken = time.Now()
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func readError(body []byte, q *tdcheck.Request) {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == "" {
		q.Code = "unreadable"
		return
	}
	q.Code, q.Ran = e.Error.Code, tarragondeal.Ran(e.Error.Ran)
}

type chunk struct {
	errorBody
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads server-sent events until the end marker [DONE].
func readStream(r io.Reader, m message, q *tdcheck.Request) {
	var got strings.Builder
	last := time.Time{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			q.Complete = true
			break
		}
		var ch chunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil {
			continue
		}
		if ch.Error.Code != "" {
			q.Code, q.Ran, q.Broken = ch.Error.Code, tarragondeal.Ran(ch.Error.Ran), true
		}
		if len(ch.Choices) == 0 || ch.Choices[0].Delta.Content == "" {
			continue
		}
		got.WriteString(ch.Choices[0].Delta.Content)
		last = recordToken(q, last)
	}
	q.Broken = q.Broken || !q.Complete
	q.Matches = strings.HasPrefix(m.want, got.String())
	q.Complete = q.Complete && got.String() == m.want
}

// recordToken counts a token that arrived now and updates the time of the first
// token and the longest gap since last. It returns the current time.
func recordToken(q *tdcheck.Request, last time.Time) time.Time {
	now := time.Now()
	q.Tokens++
	if last.IsZero() {
		q.FirstToken = now
	} else {
		q.LongestGap = max(q.LongestGap, now.Sub(last))
	}
	return now
}
