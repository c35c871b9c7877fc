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

// maxResponseBytes is the maximum size of a response. A set is larger as JSON than
// as YAML.
const maxResponseBytes = 8 * maxBodyBytes

// Client is a client of the operator API of one node.
type Client struct {
	node   string
	token  string
	scheme string
	http   *http.Client
}

// NewClient returns a client of the node at the given address, such as
// 10.0.0.5:8082. It uses plain HTTP until Trust is called.
func NewClient(node, token string) *Client {
	return &Client{node: node, token: token, scheme: "http", http: &http.Client{}}
}

// Set returns the set in force.
func (c *Client) Set(ctx context.Context) (Published, error) {
	return call[Published](ctx, c, http.MethodGet, "/operator/set", nil)
}

// Published returns the set of version v.
func (c *Client) Published(ctx context.Context, v tarragondeal.Version) (Published, error) {
	return call[Published](ctx, c, http.MethodGet, fmt.Sprintf("/operator/set?version=%d", v), nil)
}

// Publish publishes a set that is based on version p.Version.
func (c *Client) Publish(ctx context.Context, p Published) (Result, error) {
	return call[Result](ctx, c, http.MethodPut, "/operator/set", p)
}

// History returns the latest publications, newest first, at most limit.
func (c *Client) History(ctx context.Context, limit int) ([]tarragondeal.Publication, error) {
	h, err := call[History](ctx, c, http.MethodGet, fmt.Sprintf("/operator/history?limit=%d", limit), nil)
	return h.Publications, err
}

// Keys returns the keys of the set in force.
func (c *Client) Keys(ctx context.Context) (Keys, error) {
	return call[Keys](ctx, c, http.MethodGet, "/operator/keys", nil)
}

// Issue publishes the new key k.Key.
func (c *Client) Issue(ctx context.Context, k NewKey) (Result, error) {
	return call[Result](ctx, c, http.MethodPost, "/operator/keys", k)
}

// Withdraw withdraws the key with the given name. A withdrawn key can't be
// reactivated.
func (c *Client) Withdraw(ctx context.Context, name, note string, wait time.Duration) (Result, error) {
	path := "/operator/keys/" + url.PathEscape(name) + "/withdraw"
	return call[Result](ctx, c, http.MethodPost, path, NewKey{Note: note, Wait: tarragondeal.Duration(wait)})
}

// Status returns the status of the fleet as known to the node.
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

// call sends a request and decodes the response.
func call[T any](ctx context.Context, c *Client, method, path string, in any) (out T, err error) {
	data, err := c.do(ctx, method, path, in)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, eris.Wrapf(err, "can't decode the response of node %s", c.node)
	}
	return out, nil
}

// do sends a request with in as its JSON body, unless in is nil, and returns the
// body of the response. If the node responds with an error, do returns an *Error.
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "can't read the response of node %s", c.node)
	}
	if res.StatusCode != http.StatusOK {
		return nil, responseError(res.StatusCode, data)
	}
	return data, nil
}

// responseError returns the error in the body of a response. If it
// contains none, the returned error has the code CodeInternal.
func responseError(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return &Error{Status: status, Code: CodeInternal, Message: fmt.Sprintf("the node answered with status %d", status)}
	}
	body.Error.Status = status
	return body.Error
}
