package tdoperator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"tarragondeal"
)

// publisher is an in-memory Publisher with failures that tests can inject.
type publisher struct {
	mu          sync.Mutex
	sets        []*tarragondeal.Set // Indexed by version; version zero is an empty set.
	history     []tarragondeal.Publication
	changed     chan struct{}
	lagging     []tarragondeal.NodeID
	loseAnswers int // Number of publications that take effect but fail with an unknown outcome.
	unavailable bool
}

func newPublisher() *publisher {
	return &publisher{sets: []*tarragondeal.Set{{}}, changed: make(chan struct{})}
}

func (p *publisher) View() *tarragondeal.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.sets) - 1
	if n == 0 {
		return nil
	}
	return tarragondeal.NewView(tarragondeal.Version(n), p.sets[n])
}

func (p *publisher) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *publisher) Publish(_ context.Context, base tarragondeal.Version, set *tarragondeal.Set, pub tarragondeal.Publication) (tarragondeal.Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return 0, &tarragondeal.StoreError{Op: "swap", Settled: true, Err: errors.New("unavailable")}
	}
	if int(base) != len(p.sets)-1 {
		return 0, &tarragondeal.ConflictError{Op: "publish"}
	}
	p.sets = append(p.sets, set)
	pub.Version = base + 1
	p.history = append([]tarragondeal.Publication{pub}, p.history...)
	close(p.changed)
	p.changed = make(chan struct{})
	if p.loseAnswers > 0 {
		p.loseAnswers--
		return 0, &tarragondeal.StoreError{Op: "swap", Err: errors.New("no answer")}
	}
	return pub.Version, nil
}

func (p *publisher) InForce(context.Context, tarragondeal.Version) ([]tarragondeal.NodeID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lagging) > 0 {
		return p.lagging, context.DeadlineExceeded
	}
	return nil, nil
}

func (p *publisher) History(_ context.Context, limit int) ([]tarragondeal.Publication, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history[:min(limit, len(p.history))], nil
}

func (p *publisher) Published(_ context.Context, v tarragondeal.Version) (*tarragondeal.Set, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if int(v) >= len(p.sets) {
		return nil, fmt.Errorf("version %d is not known", v)
	}
	return p.sets[v], nil
}
