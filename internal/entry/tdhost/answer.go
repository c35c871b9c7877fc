package tdhost

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"tarragondeal/internal/fleet/tdmesh"
	"tarragondeal/platform"
)

const (
	// minRetryAfter is the minimum delay after which callers should retry,
	// before jitter and the bound by maxRetryAfterShare.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterShare bounds the delay to a share of the time left until the
	// caller's deadline.
	maxRetryAfterShare = 1.0 / 3
	// maxAddresses bounds the addresses in an answer.
	maxAddresses = 64
	// minLocalNodes is the number of nodes in the caller's data centre that must
	// be ready for nodes of other data centres to be omitted.
	minLocalNodes = 2
)

// passedStatuses are the statuses of errors caused by the caller. They are
// returned unchanged.
var passedStatuses = []int{
	http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout,
	http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusRequestHeaderFieldsTooLarge,
}

// callerStatus returns the status to send for a refusal. Status 503
// means that the request has not run: it is returned for every request
// that has not run, except for passedStatuses. No status with that meaning is returned
// for a request that may have run.
func callerStatus(status int, notRun bool) int {
	switch {
	case !notRun && platform.PromisesNotRun(status):
		return http.StatusBadGateway
	case slices.Contains(passedStatuses, status):
		return status
	case notRun:
		return http.StatusServiceUnavailable
	case status == http.StatusGatewayTimeout:
		return status
	}
	return http.StatusBadGateway
}

// retryAfter returns the delay after which a caller should retry, given the delay
// wanted and the time left until the caller's deadline. The delay is jittered so
// that callers don't all retry at once.
func retryAfter(after, left time.Duration) time.Duration {
	after = max(after, minRetryAfter)
	after += rand.N(after)
	if left > 0 {
		after = min(after, time.Duration(maxRetryAfterShare*float64(left)))
	}
	return max(0, after)
}

func setRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// ServeReady replies with status 200 if the node is ready, and 503 otherwise.
func (h *Host) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Addresses is a handler that returns the addresses of the nodes that callers
// should use.
type Addresses struct {
	Nodes func() []tdmesh.Node // Returns the ready nodes.
	TTL   time.Duration        // How long callers may use an answer.
	// Regions are the regions of the data centres. MayName is that of the Host.
	Regions map[string]string
	MayName func(host, dataCentre string, ownRegion bool) bool
}

// ServeHTTP implements http.Handler.
func (a *Addresses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.AddressPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	at := platform.DecodeLocation(r)
	nodes := slices.DeleteFunc(a.Nodes(), func(n tdmesh.Node) bool {
		return !a.MayName(at.Host, n.DataCentre, at.Region != "" && a.Regions[n.DataCentre] == at.Region)
	})
	addrs := Choose(nodes, at.DataCentre)
	if len(addrs) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// An error means that the caller has disconnected.
	_ = platform.WriteAddresses(w, addrs, a.TTL)
}

// Choose returns the addresses of the nodes in the caller's data centre if there
// are at least minLocalNodes of them, and otherwise of all nodes. The order is
// random and the number of addresses is bounded.
func Choose(nodes []tdmesh.Node, dataCentre string) []netip.AddrPort {
	var local, all []netip.AddrPort
	for _, n := range nodes {
		all = append(all, n.Callers)
		if n.DataCentre == dataCentre {
			local = append(local, n.Callers)
		}
	}
	out := all
	if len(local) >= minLocalNodes {
		out = local
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxAddresses)]
}
