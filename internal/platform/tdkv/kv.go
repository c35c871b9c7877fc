// Package tdkv is an HTTP client of the platform's key-value service.
//
// # Usage
//
//	kv := tdkv.New("http://127.0.0.1:9000", client, clock)
//	entry, err := kv.Get(ctx, "config/root")
//
// It makes each call once and adds no deadline to the context's. Package tdstore
// adds deadlines, budgets and retries.
package tdkv

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdbody"
	"tarragondeal/internal/platform/tdwire"
)

// maxAnswerBytes limits the size of a response. The largest is a full list page
// of the largest values.
const maxAnswerBytes = 64 << 20

// KV is a client of the key-value service.
type KV struct {
	base   string
	client *http.Client
	clock  tarragondeal.Clock
}

// New returns a client of the service at base, an http or https URL without a
// path.
func New(base string, client *http.Client, clock tarragondeal.Clock) *KV {
	return &KV{base: base, client: client, clock: clock}
}

// Get reads one key.
func (k *KV) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	var e tdwire.Entry
	q := url.Values{"key": {key}}
	err := k.call(ctx, "get", key, tdwire.PathGet+"?"+q.Encode(), nil, &e)
	return entry(e), err
}

// List reads up to limit keys that start with prefix, beginning after the key
// named by after.
func (k *KV) List(ctx context.Context, prefix, after string, limit int) ([]tarragondeal.Entry, error) {
	var es tdwire.Entries
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := k.call(ctx, "list", prefix, tdwire.PathList+"?"+q.Encode(), nil, &es)
	return entries(es), err
}

// Swap writes a key if it is at revision prev.
func (k *KV) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	var e tdwire.Entry
	in := tdwire.Swap{Key: key, Value: value, Prev: uint64(prev)}
	err := k.call(ctx, "swap", key, tdwire.PathSwap, in, &e)
	return entry(e), err
}

// Delete removes a key if it is at revision prev.
func (k *KV) Delete(ctx context.Context, key string, prev tarragondeal.Revision) error {
	var e tdwire.Entry
	return k.call(ctx, "delete", key, tdwire.PathDelete, tdwire.Swap{Key: key, Prev: uint64(prev)}, &e)
}

// Watch waits for changes under prefix later than revision after, for up to
// wait.
func (k *KV) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	var es tdwire.Entries
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}
	err := k.call(ctx, "watch", prefix, tdwire.PathWatch+"?"+q.Encode(), nil, &es)
	return entries(es), tarragondeal.Revision(es.Revision), err
}

// Acquire takes a lease if it is free or holder already has it.
func (k *KV) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	return k.lease(ctx, "acquire", tdwire.PathAcquire, tdwire.LeaseCall{Name: name, Holder: holder, TTL: ttl})
}

// Renew extends a lease.
func (k *KV) Renew(ctx context.Context, l tarragondeal.Lease, ttl time.Duration) (tarragondeal.Lease, error) {
	return k.lease(ctx, "renew", tdwire.PathRenew, tdwire.LeaseCall{Name: l.Name, Holder: l.Holder, Fence: l.Fence, TTL: ttl})
}

// Release ends a lease.
func (k *KV) Release(ctx context.Context, l tarragondeal.Lease) error {
	_, err := k.lease(ctx, "release", tdwire.PathRelease, tdwire.LeaseCall{Name: l.Name, Holder: l.Holder, Fence: l.Fence})
	return err
}

// lease makes a lease call. The TTL counts from before the call, so that the
// lease expires here no later than at the service.
func (k *KV) lease(ctx context.Context, op, path string, in tdwire.LeaseCall) (tarragondeal.Lease, error) {
	start := k.clock.Now()
	var a tdwire.LeaseAnswer
	if err := k.call(ctx, op, in.Name, path, in, &a); err != nil {
		return tarragondeal.Lease{}, err
	}
	return tarragondeal.Lease{Name: in.Name, Holder: a.Holder, Fence: a.Fence, Expires: start.Add(a.Left)}, nil
}

func (k *KV) call(ctx context.Context, op, key, path string, in, out any) error {
	req, err := k.newRequest(ctx, path, in)
	if err != nil {
		return &tarragondeal.StoreError{Op: op, Key: key, Settled: true, Err: err}
	}
	res, err := k.client.Do(req)
	if err != nil {
		return &tarragondeal.StoreError{Op: op, Key: key, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := tdbody.Read(res.Body, maxAnswerBytes)
	if err != nil {
		return &tarragondeal.StoreError{Op: op, Key: key, Err: err}
	}
	return decode(op, key, res.StatusCode, body, out)
}

func (k *KV) newRequest(ctx context.Context, path string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, k.base+path, http.NoBody)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, k.base+path, bytes.NewReader(body))
}

func decode(op, key string, status int, body []byte, out any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, out); err != nil {
			return &tarragondeal.StoreError{Op: op, Key: key, Err: err}
		}
		return nil
	case http.StatusConflict:
		var c tdwire.Conflict
		if err := json.Unmarshal(body, &c); err != nil {
			return &tarragondeal.StoreError{Op: op, Key: key, Settled: true, Err: err}
		}
		return &tarragondeal.ConflictError{Op: op, Key: key, Current: entry(c.Entry), Holder: c.Holder}
	default:
		settled := status == http.StatusTooManyRequests || status == http.StatusBadRequest
		err := eris.Errorf("status %d: %.200s", status, body)
		return &tarragondeal.StoreError{Op: op, Key: key, Settled: settled, Err: err}
	}
}

func entry(e tdwire.Entry) tarragondeal.Entry {
	return tarragondeal.Entry{Key: e.Key, Value: e.Value, Revision: tarragondeal.Revision(e.Revision), Deleted: e.Deleted}
}

func entries(es tdwire.Entries) []tarragondeal.Entry {
	out := make([]tarragondeal.Entry, 0, len(es.Entries))
	for _, e := range es.Entries {
		out = append(out, entry(e))
	}
	return out
}
