// Package tdsite is an HTTP client of the platform's list of VMs, server orders
// and usage reports. It also sends orders to model engines and reads the load of
// backend servers.
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
	"net/http"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdbody"
	"tarragondeal/internal/platform/tdwire"
)

const (
	// maxAnswerBytes limits how much of a response is read.
	maxAnswerBytes = 8 << 20
	// maxLoadBytes limits the size of a load report. It is small because
	// reports are read from every backend server several times a second.
	maxLoadBytes = 64 << 10
	// maxLoadCount limits the numbers of requests and slots in a load report.
	maxLoadCount = 1_000_000

	opLoad   = "read load"
	opEngine = "order engine"
)

// Site is a client of the platform and its backend servers.
type Site struct {
	base   string
	client *http.Client
	// serverClient sends requests to backend servers. It does not follow
	// redirects, since a server could redirect to any address.
	serverClient *http.Client
}

// New returns a client of the platform at base, an http or https URL without a
// path.
func New(base string, client *http.Client) *Site {
	servers := *client
	servers.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Site{base: base, client: client, serverClient: &servers}
}

// Servers returns the backend servers in the platform's list of VMs.
func (s *Site) Servers(ctx context.Context) ([]tarragondeal.Server, error) {
	vms, err := s.listVMs(ctx)
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

// EntryVMs returns the entry VMs in the platform's list of VMs.
func (s *Site) EntryVMs(ctx context.Context) ([]tarragondeal.EntryVM, error) {
	vms, err := s.listVMs(ctx)
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

func (s *Site) listVMs(ctx context.Context) ([]tdwire.VM, error) {
	var vms []tdwire.VM
	err := s.call(ctx, "list VMs", s.base+tdwire.PathVMs, nil, &vms)
	return vms, err
}

// OrderServers sets the number of servers that a pool should have in a data
// centre.
func (s *Site) OrderServers(ctx context.Context, o tarragondeal.ServerOrder) error {
	in := tdwire.ServerOrder{Pool: o.Pool, DataCentre: o.DataCentre, Want: o.Want, Fence: o.Fence, Sender: string(o.Sender)}
	return s.call(ctx, "order servers", s.base+tdwire.PathOrder, in, nil)
}

// OrderEngine sets the models and the role of an engine.
func (s *Site) OrderEngine(ctx context.Context, o tarragondeal.EngineOrder) error {
	in := tdwire.EngineOrder{Models: o.Models, Role: o.Role, Fence: o.Fence, Sender: string(o.Sender)}
	status, answer, err := s.send(ctx, s.serverClient, opEngine, "http://"+o.Server.Addr.String()+tdwire.PathEngine, in, maxAnswerBytes)
	if err != nil {
		return err
	}
	return decode(opEngine, status, answer, nil)
}

// Report sends a usage report.
func (s *Site) Report(ctx context.Context, r tarragondeal.UsageReport) error {
	return s.call(ctx, "report usage", s.base+tdwire.PathUsage, r, nil)
}

// Load reads a backend server's load report.
func (s *Site) Load(ctx context.Context, srv tarragondeal.Server) (tarragondeal.Load, error) {
	status, body, err := s.send(ctx, s.serverClient, opLoad, "http://"+srv.Addr.String()+tdwire.PathLoad, nil, maxLoadBytes)
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
	if low < 0 || high > maxLoadCount || l.Age < 0 {
		return l, &tarragondeal.PlatformError{Op: opLoad, Status: status, Err: errInvalidLoad}
	}
	return l, nil
}

// errInvalidLoad reports a load report with impossible numbers.
var errInvalidLoad = errors.New("load report has numbers out of range")

func (s *Site) call(ctx context.Context, op, url string, in, out any) error {
	status, answer, err := s.send(ctx, s.client, op, url, in, maxAnswerBytes)
	if err != nil {
		return err
	}
	return decode(op, status, answer, out)
}

// send makes one call and returns the response's status and its body of up to limit
// bytes. The call is a POST with in as JSON, or a GET if in is nil.
func (s *Site) send(ctx context.Context, client *http.Client, op, url string, in any, limit int) (int, []byte, error) {
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
	answer, err := tdbody.Read(res.Body, limit)
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
