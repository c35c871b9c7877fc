package tdengine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"tarragondeal/internal/platform/tdwire"
)

// orders holds the orders that the engine received.
type orders struct {
	newest   uint64 // Highest fencing token seen.
	received []OrderRecord
}

// OrderRecord is a received order.
type OrderRecord struct {
	At       time.Time
	Order    tdwire.EngineOrder
	Accepted bool
}

func (o *orders) models() []string {
	for n := len(o.received) - 1; n >= 0; n-- {
		if o.received[n].Accepted {
			return o.received[n].Order.Models
		}
	}
	return nil
}

// Orders returns the orders received so far.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders.received...)
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
	e.orders.received = append(e.orders.received, OrderRecord{At: time.Now(), Order: in, Accepted: ok})
	e.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusConflict, tdwire.Conflict{Fence: newest})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
