package tdplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tarragondeal/internal/platform/tdwire"
)

// maxBodyBytes bounds a call: a value of a megabyte in base64, and a margin.
const maxBodyBytes = 2 << 20

// Options are the platform's rates. Zero means unlimited.
type Options struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is how far the list of VMs is behind.
	ListLag time.Duration
	// OnOrder is called with each order that was accepted.
	OnOrder func(tdwire.ServerOrder)
	// IgnoresFence makes the platform accept orders and reports with an old
	// fencing token.
	IgnoresFence bool
}

// Platform is the stand-in. Its methods are safe for concurrent use.
type Platform struct {
	mu     sync.Mutex
	kv     kv
	vms    vmList
	faults faults
	record Record
	writes *rate.Limiter
	reads  *rate.Limiter
	opt    Options
}

// New returns an empty platform.
func New(o Options) *Platform {
	return &Platform{
		opt:    o,
		kv:     newKV(),
		vms:    vmList{lag: o.ListLag},
		writes: limiter(o.WritesPerSecond),
		reads:  limiter(o.ReadsPerSecond),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// Handler serves the platform's interfaces.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+tdwire.PathGet, p.read(p.get))
	mux.HandleFunc("GET "+tdwire.PathList, p.read(p.list))
	mux.HandleFunc("GET "+tdwire.PathWatch, p.read(p.watch))
	mux.HandleFunc("POST "+tdwire.PathSwap, p.write(p.swap))
	mux.HandleFunc("POST "+tdwire.PathDelete, p.write(p.remove))
	mux.HandleFunc("POST "+tdwire.PathAcquire, p.write(p.acquire))
	mux.HandleFunc("POST "+tdwire.PathRenew, p.write(p.renew))
	mux.HandleFunc("POST "+tdwire.PathRelease, p.write(p.release))
	mux.HandleFunc("GET "+tdwire.PathVMs, p.listVMs)
	mux.HandleFunc("POST "+tdwire.PathOrder, p.order)
	mux.HandleFunc("POST "+tdwire.PathUsage, p.usage)
	return mux
}

func (p *Platform) read(h http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.reads, &p.record.Reads, h)
}

func (p *Platform) write(h http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.writes, &p.record.Writes, h)
}

// guard counts a call and makes it fail as told. A lost answer takes effect
// and then breaks the connection.
func (p *Platform) guard(l *rate.Limiter, n *int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		*n++
		f := p.faults.next(n == &p.record.Writes)
		p.mu.Unlock()
		if !sleep(r, f.delay) {
			return
		}
		switch {
		case f.outage:
			http.Error(w, "service is away", http.StatusServiceUnavailable)
		case !l.Allow():
			http.Error(w, "over the rate", http.StatusTooManyRequests)
		case f.loseAnswer:
			h(discard{}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discard is an answer that nobody will see.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
