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

// maxBodyBytes limits the size of a request body. It fits a value of 1 MiB in
// base64.
const maxBodyBytes = 2 << 20

// Options configure a platform.
type Options struct {
	// Maximum rates of the key-value service. Zero means unlimited.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is how old the served list of VMs is.
	ListLag time.Duration
	// OnOrder is called with each accepted order.
	OnOrder func(tdwire.ServerOrder)
	// IgnoresFence makes the platform accept orders and reports with an old
	// fencing token.
	IgnoresFence bool
}

// Platform is a fake platform. Its methods are safe for concurrent use.
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

// New returns a platform without entries and VMs.
func New(o Options) *Platform {
	return &Platform{
		opt:    o,
		kv:     newKV(),
		vms:    vmList{lag: o.ListLag},
		writes: newLimiter(o.WritesPerSecond),
		reads:  newLimiter(o.ReadsPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// Handler returns a handler for the platform's endpoints.
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
	return p.injectFaults(p.reads, &p.record.Reads, h)
}

func (p *Platform) write(h http.HandlerFunc) http.HandlerFunc {
	return p.injectFaults(p.writes, &p.record.Writes, h)
}

// injectFaults counts calls, enforces the rate and injects faults. A call
// whose answer is lost takes effect before its connection breaks.
func (p *Platform) injectFaults(l *rate.Limiter, n *int64, h http.HandlerFunc) http.HandlerFunc {
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
			h(discardWriter{}, r)
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

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

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
