package tdpace

import (
	"math/bits"
	"time"
)

const (
	// batchClasses is the number of classes of batch sizes for which the time of an event is
	// learnt. Each covers twice the sizes of the one before.
	batchClasses = 8
	// eventQuantile is the quantile of the times between events that is taken for the time of
	// an event while the engine reads no prompt: reading makes the upper ones longer.
	eventQuantile = 0.4
	// readingQuantile is the quantile of the delays by reading that a stream must expect. A
	// stream of some fifty events is late if one of them is.
	readingQuantile = 0.995
	// minEvents and minReadings are the numbers of samples from which a figure is used.
	minEvents   = 20
	minReadings = 40
	// readingShare is the delay of an event, as a share of its usual time, from which it is
	// attributed to prompts that were read meanwhile.
	readingShare = 0.5
	// maxPause bounds a sample. Longer pauses come from streams that were preempted, or from
	// machines that stood still.
	maxPause = 2 * time.Second
)

// Defaults are figures that are used until others are learnt.
type Defaults struct {
	Event time.Duration // Time of an event while the engine reads no prompt.
}

// Pool holds what the engines of a pool have in common.
type Pool struct {
	defaults Defaults
	events   [batchClasses]quantile // In seconds, by class of batch sizes.
	reading  quantile               // Delay of events by reading, in seconds.
	wait     waitError
}

// NewPool returns a pool of which nothing is known.
func NewPool(d Defaults) *Pool {
	p := &Pool{defaults: d, reading: newQuantile(readingQuantile)}
	for n := range p.events {
		p.events[n] = newQuantile(eventQuantile)
	}
	return p
}

// batchClass returns the class of a batch size.
func batchClass(running int) int {
	return min(bits.Len(uint(max(0, running))), batchClasses-1)
}

// Event returns the time of an event while the engine runs some requests and reads no prompt.
func (p *Pool) Event(running int) time.Duration {
	class := batchClass(running)
	// A class without samples is taken for as fast as the nearest smaller one, or else the
	// nearest larger one.
	for n := class; n >= 0; n-- {
		if p.events[n].count >= minEvents {
			return seconds(p.events[n].value)
		}
	}
	for n := class + 1; n < batchClasses; n++ {
		if p.events[n].count >= minEvents {
			return seconds(p.events[n].value)
		}
	}
	return p.defaults.Event
}

// Reading returns the longest delay of an event that a stream must expect from prompts that
// the engine reads, however many of them wait. Learnt is false while too few samples are known.
func (p *Pool) Reading() (d time.Duration, learnt bool) {
	return seconds(p.reading.value), p.reading.count >= minReadings
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
