package tdplatform

import "time"

// faults is the state of the faults injected into the key-value service.
type faults struct {
	outage    bool
	delay     time.Duration
	loseEvery int // Every n-th write's answer is lost; zero for none.
	writes    int
}

// fault is the fault of one call.
type fault struct {
	outage     bool
	loseAnswer bool
	delay      time.Duration
}

func (f *faults) next(write bool) fault {
	out := fault{outage: f.outage, delay: f.delay}
	if !write {
		return out
	}
	f.writes++
	out.loseAnswer = f.loseEvery > 0 && f.writes%f.loseEvery == 0
	return out
}

// SetOutage sets whether the key-value service refuses every call.
func (p *Platform) SetOutage(outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.outage = outage
}

// SetDelay delays each call of the key-value service by d.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// LoseAnswers breaks the connection of every n-th write after the write took
// effect. Zero stops it.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseEvery = n
	p.faults.writes = 0
}
