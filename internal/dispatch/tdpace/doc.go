// Package tdpace estimates how fast the engines of one pool produce the events of their
// streams, from the times between events and from what the engines report of their machines.
//
// The time of one event grows with the number of requests that the engine runs, and by the
// time for which the engine reads prompts between two tokens. How long that is depends on how
// many prompt tokens the engine reads in one step, which it doesn't say. Engines of one pool
// differ in speed, and machines that do other work as well slow them down for moments.
//
// All figures are bounded, and age as new samples come. Before there are enough of them, the
// figures that the caller gives are used.
//
// # Usage
//
//	p := tdpace.NewPool(tdpace.Defaults{Event: 20 * time.Millisecond})
//	e := p.NewEngine()
//	e.ObserveSlowdown(1.5, now)
//	e.ObserveEvent(running, pause, now)
//	longest := e.Pause(running, backlog, now)
//
// A Pool and its engines are not safe for concurrent use.
package tdpace
