package tdplatform

import "time"

// faults is what the key-value service has been told to do wrong.
type faults struct {
	outage    bool
	delay     time.Duration
	loseEvery int // Every n-th write's answer is lost.
	writes    int
}

// fault is what one call meets.
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

// SetOutage makes the key-value service refuse every call, or serve again.
func (p *Platform) SetOutage(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.outage = away
}

// SetDelay makes each call of the key-value service take d longer.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// LoseAnswers loses the answer of every n-th write after it took effect.
// Zero stops it.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseEvery = n
	p.faults.writes = 0
}
