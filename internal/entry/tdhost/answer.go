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
	// comeBackLeast is when callers come back at the earliest.
	comeBackLeast = 100 * time.Millisecond
	// comeBackShare is the share of the time left that callers wait at most.
	comeBackShare = 1.0 / 3
	// maxAddresses bounds an answer to the question which addresses to use.
	maxAddresses = 64
	// nearLeast is how many nodes of the caller's own data centre there must
	// be for the others to be left out.
	nearLeast = 2
)

// plain are the statuses of a caller's own faults, which come back as they are.
var plain = []int{
	http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout,
	http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusRequestHeaderFieldsTooLarge,
}

// callerStatus returns the status of a refusal. What has not run is always told
// so, and nothing else ever is.
func callerStatus(status int, notRun bool) int {
	switch {
	case slices.Contains(plain, status):
		return status
	case notRun:
		return http.StatusServiceUnavailable
	case status == http.StatusGatewayTimeout:
		return status
	}
	return http.StatusBadGateway
}

// comeBack returns when a caller that has so much time left is told to come
// back. It is spread, so that callers do not return as one.
func comeBack(after, left time.Duration) time.Duration {
	after = max(after, comeBackLeast)
	after += rand.N(after)
	if left > 0 {
		after = min(after, time.Duration(comeBackShare*float64(left)))
	}
	return max(0, after)
}

func setRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// ServeReady answers whether the node is ready.
func (h *Host) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Addresses answers which nodes callers should use.
type Addresses struct {
	Nodes func() []tdmesh.Node // Those that are ready.
	TTL   time.Duration
}

// ServeHTTP answers one question.
func (a *Addresses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.AddressPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	addrs := Choose(a.Nodes(), platform.DecodePlace(r).DataCentre)
	if len(addrs) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A caller that went away needs no answer.
	_ = platform.WriteAddresses(w, addrs, a.TTL)
}

// Choose returns the addresses of the nodes in a caller's data centre where
// they are enough, and else of all.
func Choose(nodes []tdmesh.Node, dataCentre string) []netip.AddrPort {
	var near, all []netip.AddrPort
	for _, n := range nodes {
		all = append(all, n.Callers)
		if n.DataCentre == dataCentre {
			near = append(near, n.Callers)
		}
	}
	out := all
	if len(near) >= nearLeast {
		out = near
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxAddresses)]
}
