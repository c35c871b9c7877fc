package tdpace

import (
	"math"
	"time"

	"tarragondeal"
)

const (
	// slowdownHalfLife is the half-life of the difference between a reported slowdown and the
	// mean of the engine: the figure changes many times a second.
	slowdownHalfLife = 300 * time.Millisecond
	// slowdownWeight is the weight of a new report in the mean.
	slowdownWeight = 0.1
	// minSlowdown and maxSlowdown bound a reported slowdown.
	minSlowdown, maxSlowdown = 0.2, 10.0
	// minSpeed and maxSpeed bound how much longer an engine's events take than those of its
	// pool.
	minSpeed, maxSpeed = 0.25, 4.0
	// speedHalfLife is the half-life of the difference between an engine's events and those
	// of its pool while it gives no samples.
	speedHalfLife = 10 * time.Second
)

// Engine holds what is known of one run of an engine.
type Engine struct {
	pool *Pool
	// speed is the time of its events, relative to those of the pool. It follows the same quantile
	// as theirs: the mean of events during which no prompt was read would leave out all those of an
	// engine that is much slower than its pool.
	speed    float64
	speedAt  tarragondeal.Instant
	mean     float64 // Of the reported slowdowns; zero before the first.
	reported float64
	at       tarragondeal.Instant // When reported arrived.
}

// NewEngine returns an engine that is taken for as fast as its pool.
func (p *Pool) NewEngine() *Engine { return &Engine{pool: p, speed: 1} }

// ObserveSlowdown records how long work takes on the engine's machine, relative to the usual
// time.
func (e *Engine) ObserveSlowdown(slowdown float64, now tarragondeal.Instant) {
	if !(slowdown > 0) {
		return
	}
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	if e.mean == 0 {
		e.mean = slowdown
	}
	e.mean += slowdownWeight * (slowdown - e.mean)
	e.reported, e.at = slowdown, now
}

// Slowdown returns the estimated slowdown of the engine's machine.
func (e *Engine) Slowdown(now tarragondeal.Instant) float64 {
	if e.mean == 0 {
		return 1
	}
	age := max(0, now.Sub(e.at))
	return e.mean + (e.reported-e.mean)*math.Exp2(-age.Seconds()/slowdownHalfLife.Seconds())
}

// RelativeSlowdown returns the estimated slowdown relative to the mean of the engine.
func (e *Engine) RelativeSlowdown(now tarragondeal.Instant) float64 {
	if e.mean == 0 {
		return 1
	}
	return e.Slowdown(now) / e.mean
}

// Speed returns the time of the engine's events, relative to those of its pool.
func (e *Engine) Speed(now tarragondeal.Instant) float64 {
	age := max(0, now.Sub(e.speedAt))
	return 1 + (e.speed-1)*math.Exp2(-age.Seconds()/speedHalfLife.Seconds())
}

// ObserveEvent records that an event of a stream came pause after the one before, while the
// engine ran some requests.
func (e *Engine) ObserveEvent(running int, pause time.Duration, now tarragondeal.Instant) {
	if pause < 0 || pause > maxPause {
		return
	}
	sample := pause.Seconds() / e.Slowdown(now)
	class := &e.pool.events[batchClass(running)]
	class.add(sample)
	usual := e.pool.Event(running).Seconds()
	if usual <= 0 {
		return
	}
	speed := e.Speed(now)
	if delay := sample - usual*speed; delay > readingShare*usual*speed {
		e.pool.reading.add(delay)
	}
	e.speed, e.speedAt = min(max(followQuantile(speed, sample/usual, eventQuantile), minSpeed), maxSpeed), now
}

// Event returns the estimated time of an event of a stream while the engine reads no prompt.
func (e *Engine) Event(running int, now tarragondeal.Instant) time.Duration {
	return seconds(e.pool.Event(running).Seconds() * e.Speed(now) * e.Slowdown(now))
}

// Pause returns the longest pause between two events that a stream must expect that runs while
// the engine reads prompts for the given time.
func (e *Engine) Pause(running int, backlog time.Duration, now tarragondeal.Instant) time.Duration {
	if d, learnt := e.pool.Reading(); learnt {
		backlog = min(backlog, seconds(d.Seconds()*e.Speed(now)*e.Slowdown(now)))
	}
	return e.Event(running, now) + backlog
}
