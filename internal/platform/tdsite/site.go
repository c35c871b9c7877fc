// Package tdsite speaks to the platform's other interfaces over HTTP: the
// list of VMs, orders of backend servers, and usage reports. It also sends
// orders to model engines and reads backend servers' load.
//
// # Usage
//
//	site := tdsite.New("http://127.0.0.1:9000", client)
//	servers, err := site.Servers(ctx)
package tdsite

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

const (
	// maxAnswerBytes bounds what is read of one answer.
	maxAnswerBytes = 8 << 20
	// maxLoadBytes bounds a report of load, which is read from every backend
	// server several times a second.
	maxLoadBytes = 64 << 10
	// maxRequests bounds the requests and slots that one server can report.
	maxRequests = 1_000_000

	opLoad   = "read load"
	opEngine = "order engine"
)

// Site is the platform at one address.
type Site struct {
	base   string
	client *http.Client
	// servers reaches backend servers. It follows no redirect, since that
	// could lead anywhere.
	servers *http.Client
}

// New returns the platform at base, an http or https URL without a path.
func New(base string, client *http.Client) *Site {
	servers := *client
	servers.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Site{base: base, client: client, servers: &servers}
}

// Servers returns the backend servers of the platform's list.
func (s *Site) Servers(ctx context.Context) ([]tarragondeal.Server, error) {
	vms, err := s.vms(ctx)
	if err != nil {
		return nil, err
	}
	var out []tarragondeal.Server
	for _, v := range vms {
		if v.Kind == tdwire.KindServer {
			out = append(out, tarragondeal.Server{
				ID: tarragondeal.ServerID(v.Name), Pool: v.Pool, DataCentre: v.DataCentre,
				Addr: v.Addr, State: tarragondeal.VMState(v.State),
			})
		}
	}
	return out, nil
}

// EntryVMs returns the entry VMs of the platform's list.
func (s *Site) EntryVMs(ctx context.Context) ([]tarragondeal.EntryVM, error) {
	vms, err := s.vms(ctx)
	if err != nil {
		return nil, err
	}
	var out []tarragondeal.EntryVM
	for _, v := range vms {
		if v.Kind == tdwire.KindEntry {
			out = append(out, tarragondeal.EntryVM{
				Node: tarragondeal.NodeID(v.Name), DataCentre: v.DataCentre,
				Peer: v.Addr, State: tarragondeal.VMState(v.State),
			})
		}
	}
	return out, nil
}

func (s *Site) vms(ctx context.Context) ([]tdwire.VM, error) {
	var vms []tdwire.VM
	err := s.call(ctx, "list VMs", s.base+tdwire.PathVMs, nil, &vms)
	return vms, err
}

// OrderServers asks for a number of servers.
func (s *Site) OrderServers(ctx context.Context, o tarragondeal.ServerOrder) error {
	in := tdwire.ServerOrder{Pool: o.Pool, DataCentre: o.DataCentre, Want: o.Want, Fence: o.Fence, Sender: string(o.Sender)}
	return s.call(ctx, "order servers", s.base+tdwire.PathOrder, in, nil)
}

// OrderEngine tells an engine what to serve.
func (s *Site) OrderEngine(ctx context.Context, o tarragondeal.EngineOrder) error {
	in := tdwire.EngineOrder{Models: o.Models, Role: o.Role, Fence: o.Fence, Sender: string(o.Sender)}
	status, answer, err := s.send(ctx, s.servers, opEngine, "http://"+o.Server.Addr.String()+tdwire.PathEngine, in, maxAnswerBytes)
	if err != nil {
		return err
	}
	return decode(opEngine, status, answer, nil)
}

// Report sends a usage report.
func (s *Site) Report(ctx context.Context, r tarragondeal.UsageReport) error {
	return s.call(ctx, "report usage", s.base+tdwire.PathUsage, r, nil)
}

// Load reads a backend server's report of itself.
func (s *Site) Load(ctx context.Context, srv tarragondeal.Server) (tarragondeal.Load, error) {
	status, body, err := s.send(ctx, s.servers, opLoad, "http://"+srv.Addr.String()+tdwire.PathLoad, nil, maxLoadBytes)
	if err != nil {
		return tarragondeal.Load{}, err
	}
	l, err := decodeLoad(status, body)
	if err != nil {
		return tarragondeal.Load{}, err
	}
	return tarragondeal.Load{
		Server: srv.ID, Running: l.Running, Queued: l.Queued, Slots: l.Slots,
		Leaving: l.Leaving, Models: l.Models, Age: l.Age,
	}, nil
}

func decodeLoad(status int, body []byte) (tdwire.Load, error) {
	var l tdwire.Load
	if err := decode(opLoad, status, body, &l); err != nil {
		return l, err
	}
	low, high := min(l.Running, l.Queued, l.Slots), max(l.Running, l.Queued, l.Slots)
	if low < 0 || high > maxRequests || l.Age < 0 {
		return l, &tarragondeal.PlatformError{Op: opLoad, Status: status, Err: errFigures}
	}
	return l, nil
}

// errFigures is a report of load that can't be true.
var errFigures = errors.New("the report has figures that no server can have")

func (s *Site) call(ctx context.Context, op, url string, in, out any) error {
	status, answer, err := s.send(ctx, s.client, op, url, in, maxAnswerBytes)
	if err != nil {
		return err
	}
	return decode(op, status, answer, out)
}

// send makes one call and returns the answer's status and up to limit bytes
// of its body.
func (s *Site) send(ctx context.Context, client *http.Client, op, url string, in any, limit int64) (int, []byte, error) {
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, nil, &tarragondeal.PlatformError{Op: op, Err: err}
		}
		method, body = http.MethodPost, b
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &tarragondeal.PlatformError{Op: op, Err: err}
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, &tarragondeal.PlatformError{Op: op, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, limit))
	if err != nil {
		return 0, nil, &tarragondeal.PlatformError{Op: op, Status: res.StatusCode, Err: err}
	}
	return res.StatusCode, answer, nil
}

func decode(op string, status int, body []byte, out any) error {
	if status == http.StatusConflict {
		var c tdwire.Conflict
		if err := json.Unmarshal(body, &c); err == nil {
			return &tarragondeal.FenceError{Current: c.Fence}
		}
	}
	if status != http.StatusOK {
		return &tarragondeal.PlatformError{Op: op, Status: status, Err: eris.Errorf("%.200s", body)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &tarragondeal.PlatformError{Op: op, Status: status, Err: err}
	}
	return nil
}
