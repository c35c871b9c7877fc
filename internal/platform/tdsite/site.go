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
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 8 << 20

// Site is the platform at one address.
type Site struct {
	base   string
	client *http.Client
}

// New returns the platform at base, an http or https URL without a path.
func New(base string, client *http.Client) *Site {
	return &Site{base: base, client: client}
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
	return s.call(ctx, "order engine", "http://"+o.Server.Addr.String()+tdwire.PathEngine, in, nil)
}

// Report sends a usage report.
func (s *Site) Report(ctx context.Context, r tarragondeal.UsageReport) error {
	return s.call(ctx, "report usage", s.base+tdwire.PathUsage, r, nil)
}

// Load reads a backend server's report of itself.
func (s *Site) Load(ctx context.Context, srv tarragondeal.Server) (tarragondeal.Load, error) {
	var l tdwire.Load
	if err := s.call(ctx, "read load", "http://"+srv.Addr.String()+tdwire.PathLoad, nil, &l); err != nil {
		return tarragondeal.Load{}, err
	}
	return tarragondeal.Load{
		Server: srv.ID, Running: l.Running, Queued: l.Queued, Slots: l.Slots,
		Leaving: l.Leaving, Models: l.Models, Age: l.Age,
	}, nil
}

func (s *Site) call(ctx context.Context, op, url string, in, out any) error {
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return &tarragondeal.PlatformError{Op: op, Err: err}
		}
		method, body = http.MethodPost, b
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return &tarragondeal.PlatformError{Op: op, Err: err}
	}
	res, err := s.client.Do(req)
	if err != nil {
		return &tarragondeal.PlatformError{Op: op, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return &tarragondeal.PlatformError{Op: op, Status: res.StatusCode, Err: err}
	}
	return decode(op, res.StatusCode, answer, out)
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
