package tdengine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tarragondeal/internal/platform/tdwire"
)

// orders is what the engine was ordered to do.
type orders struct {
	newest uint64
	got    []OrderRecord
}

// OrderRecord is an order and when it came.
type OrderRecord struct {
	At       time.Time
	Order    tdwire.EngineOrder
	Accepted bool
}

func (o *orders) models() []string {
	for n := len(o.got) - 1; n >= 0; n-- {
		if o.got[n].Accepted {
			return o.got[n].Order.Models
		}
	}
	return nil
}

// Orders returns the orders that came so far.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders.got...)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in tdwire.EngineOrder
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	newest := e.orders.newest
	ok := !e.opt.ChecksFence || in.Fence >= newest
	e.orders.newest = max(newest, in.Fence)
	e.orders.got = append(e.orders.got, OrderRecord{At: time.Now(), Order: in, Accepted: ok})
	e.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusConflict, tdwire.Conflict{Fence: newest})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
