package tdoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// maxAnswerBytes bounds an answer: a set as JSON is larger than as YAML.
const maxAnswerBytes = 8 * maxBodyBytes

// Client calls the operators' side of one node.
type Client struct {
	node   string
	token  string
	scheme string
	http   *http.Client
}

// NewClient returns a client of the node at an address such as
// 10.0.0.5:8082.
func NewClient(node, token string) *Client {
	return &Client{node: node, token: token, scheme: "http", http: &http.Client{}}
}

// Set returns the set in force.
func (c *Client) Set(ctx context.Context) (Published, error) {
	return call[Published](ctx, c, http.MethodGet, "/operator/set", nil)
}

// Published returns the set of one version.
func (c *Client) Published(ctx context.Context, v tarragondeal.Version) (Published, error) {
	return call[Published](ctx, c, http.MethodGet, fmt.Sprintf("/operator/set?version=%d", v), nil)
}

// Publish publishes a set that was made from version p.Version.
func (c *Client) Publish(ctx context.Context, p Published) (Result, error) {
	return call[Result](ctx, c, http.MethodPut, "/operator/set", p)
}

// History returns the newest publications.
func (c *Client) History(ctx context.Context, limit int) ([]tarragondeal.Publication, error) {
	h, err := call[History](ctx, c, http.MethodGet, fmt.Sprintf("/operator/history?limit=%d", limit), nil)
	return h.Publications, err
}

// Keys returns the keys of the set in force.
func (c *Client) Keys(ctx context.Context) (Keys, error) {
	return call[Keys](ctx, c, http.MethodGet, "/operator/keys", nil)
}

// Issue publishes a new key.
func (c *Client) Issue(ctx context.Context, k NewKey) (Result, error) {
	return call[Result](ctx, c, http.MethodPost, "/operator/keys", k)
}

// Withdraw withdraws a key.
func (c *Client) Withdraw(ctx context.Context, name, note string, wait time.Duration) (Result, error) {
	path := "/operator/keys/" + url.PathEscape(name) + "/withdraw"
	return call[Result](ctx, c, http.MethodPost, path, NewKey{Note: note, Wait: tarragondeal.Duration(wait)})
}

// Status returns what the node knows of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/operator/status", nil)
}

// Report reads the report on service-level burn into out.
func (c *Client) Report(ctx context.Context, out any) error {
	body, err := c.do(ctx, http.MethodGet, "/operator/report", nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

func call[T any](ctx context.Context, c *Client, method, path string, in any) (out T, err error) {
	body, err := c.do(ctx, method, path, in)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, eris.Wrapf(err, "the answer of %s is not what was expected", c.node)
	}
	return out, nil
}

func (c *Client) do(ctx context.Context, method, path string, in any) ([]byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.node+path, body)
	if err != nil {
		return nil, eris.Wrapf(err, "node %s", c.node)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "the answer of %s", c.node)
	}
	if res.StatusCode != http.StatusOK {
		return nil, refusal(res.StatusCode, answer)
	}
	return answer, nil
}

func refusal(status int, answer []byte) error {
	var body errorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Error == nil {
		return &Error{Status: status, Code: CodeInternal, Message: fmt.Sprintf("the node answered with status %d", status)}
	}
	body.Error.Status = status
	return body.Error
}
