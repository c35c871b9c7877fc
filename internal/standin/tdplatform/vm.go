package tdplatform

import (
	"net/http"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

// vmList is a list of VMs that is read with a lag.
type vmList struct {
	lag       time.Duration
	snapshots []vmSnapshot
}

type vmSnapshot struct {
	at  time.Time
	vms []tdwire.VM
}

func (l *vmList) set(now time.Time, vms []tdwire.VM) {
	l.snapshots = append(l.snapshots, vmSnapshot{at: now, vms: append([]tdwire.VM(nil), vms...)})
}

func (l *vmList) at(now time.Time) []tdwire.VM {
	visible := []tdwire.VM{}
	for _, d := range l.snapshots {
		if now.Sub(d.at) >= l.lag || len(visible) == 0 {
			visible = d.vms
		}
	}
	return visible
}

// SetVMs replaces the list of VMs. Readers see it after ListLag.
func (p *Platform) SetVMs(vms []tdwire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.set(time.Now(), vms)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	vms := p.vms.at(time.Now())
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, vms)
}

// Record contains the calls that the platform received.
type Record struct {
	Reads  int64
	Writes int64
	Orders []OrderRecord
	Usage  []UsageRecord
}

// OrderRecord is a received server order.
type OrderRecord struct {
	At       time.Time
	Order    tdwire.ServerOrder
	Accepted bool
}

// UsageRecord is a received usage report.
type UsageRecord struct {
	At       time.Time
	Report   tarragondeal.UsageReport
	Accepted bool
}

// Recorded returns a copy of the record so far.
func (p *Platform) Recorded() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.record
	out.Orders = append([]OrderRecord(nil), p.record.Orders...)
	out.Usage = append([]UsageRecord(nil), p.record.Usage...)
	return out
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var in tdwire.ServerOrder
	if !readJSON(w, r, &in) {
		return
	}
	p.mu.Lock()
	var newest uint64
	for _, o := range p.record.Orders {
		newest = max(newest, o.Order.Fence)
	}
	ok := p.opt.IgnoresFence || in.Fence >= newest
	p.record.Orders = append(p.record.Orders, OrderRecord{At: time.Now(), Order: in, Accepted: ok})
	p.mu.Unlock()
	if ok && p.opt.OnOrder != nil {
		p.opt.OnOrder(in)
	}
	writeFenceResult(w, ok, newest)
}

func (p *Platform) usage(w http.ResponseWriter, r *http.Request) {
	var in tarragondeal.UsageReport
	if !readJSON(w, r, &in) {
		return
	}
	p.mu.Lock()
	var newest uint64
	for _, u := range p.record.Usage {
		newest = max(newest, u.Report.Fence)
	}
	ok := p.opt.IgnoresFence || in.Fence >= newest
	p.record.Usage = append(p.record.Usage, UsageRecord{At: time.Now(), Report: in, Accepted: ok})
	p.mu.Unlock()
	writeFenceResult(w, ok, newest)
}

func writeFenceResult(w http.ResponseWriter, ok bool, newest uint64) {
	if !ok {
		writeJSON(w, http.StatusConflict, tdwire.Conflict{Fence: newest})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
