package tdmesh

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// silentPeerTimeout is how long a peer without an entry in the store may be
	// silent before it is removed.
	silentPeerTimeout = 3 * time.Second
	expireInterval    = 500 * time.Millisecond
	// renewalsPerTTL is how many times a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// storeTimeout bounds one call to the store for this node's entry.
	storeTimeout = time.Second
	// reenterDelay is how long, for each node of the fleet, the nodes take to write their
	// entries again after the store came back from an earlier copy.
	reenterDelay = 10 * time.Millisecond
	// minStoreRetryDelay is the minimum delay after a failed call.
	minStoreRetryDelay = 150 * time.Millisecond
)

// expirePeers removes peers that are neither listed in the store nor alive.
func (m *Mesh) expirePeers(ctx context.Context) error {
	silentSince := make(map[tarragondeal.NodeID]tarragondeal.Instant)
	copyAge := m.Scope.Gauge("copyAgeSeconds")
	for tdclock.Sleep(ctx, expireInterval) {
		m.removeSilent(silentSince)
		if age, ok := m.copyAge(false); ok {
			copyAge.Update(age.Seconds())
		}
	}
	return nil
}

func (m *Mesh) removeSilent(silentSince map[tarragondeal.NodeID]tarragondeal.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for name, p := range m.peers {
		if _, ok := m.alive(p); ok || p.listed {
			delete(silentSince, name)
			continue
		}
		since, known := silentSince[name]
		switch {
		case !known:
			silentSince[name] = now
		case now.Sub(since) > silentPeerTimeout:
			delete(silentSince, name)
			m.removePeer(p)
		}
	}
}

// maintainEntry keeps this node's entry in the store under a lease until ctx ends,
// then releases it.
func (m *Mesh) maintainEntry(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	name := "node/" + string(m.self.Name)
	var lease *tarragondeal.Lease
	for ctx.Err() == nil {
		next, err := m.acquireOrRenew(ctx, lease, name, string(value))
		wait := m.TTL / renewalsPerTTL
		if err == nil {
			lease = &next
		} else {
			var conflict *tarragondeal.ConflictError
			if errors.As(err, &conflict) {
				lease = nil
			}
			m.Log.Debug().Err(err).Msg("failed to acquire or renew this node's entry")
			wait = minStoreRetryDelay + rand.N(m.TTL/renewalsPerTTL)
		}
		if m.waitToRenew(ctx, wait) {
			lease = nil // Its id may be that of another lease by now.
		}
	}
	return m.releaseEntry(ctx, lease)
}

// waitToRenew waits until the lease of this node's entry is to be renewed. It reports whether
// the entry must be written again, since an era has begun or the entry is gone.
func (m *Mesh) waitToRenew(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	case <-m.reenter:
		tdclock.Sleep(ctx, rand.N(min(time.Duration(m.Size())*reenterDelay, m.TTL/2)))
		return true
	}
}

func (m *Mesh) acquireOrRenew(ctx context.Context, held *tarragondeal.Lease, name, value string) (tarragondeal.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if held != nil {
		return m.Store.Renew(ctx, *held, m.TTL)
	}
	return m.Store.Acquire(ctx, name, value, m.TTL)
}

func (m *Mesh) releaseEntry(ctx context.Context, lease *tarragondeal.Lease) error {
	if lease == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := m.Store.Release(ctx, *lease); err != nil {
		m.Log.Info().Err(err).Msg("failed to release this node's entry")
	}
	return nil
}
