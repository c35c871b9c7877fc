package tdvm

import (
	"time"
)

const (
	// drainPollInterval is how often a draining node checks whether it may exit.
	drainPollInterval = 50 * time.Millisecond
	// addressTTLFactor is how many times addressTTL callers may keep an answer.
	addressTTLFactor = 3
	// minIdleBeforeExit is how long no request must have been open before a
	// draining node exits.
	minIdleBeforeExit = 300 * time.Millisecond
	// killMargin is the margin before the platform kills the process.
	killMargin = 700 * time.Millisecond
)

// drain marks the node as not ready and keeps serving until callers have moved
// to other nodes, since they cache addresses, and other nodes need no connections
// through it. It returns killMargin before the
// platform kills the process at the latest.
func (n *Node) drain() {
	start := n.clock.Now()
	n.host.Leave()
	n.tunnels.Leave()
	n.log.Info().Int("open", n.host.Open()).Int("tunnels", n.tunnels.Serving()).Msg("leaving")
	minDrain := addressTTLFactor * addressTTL
	maxDrain := n.vm.Bounds.Grace - killMargin
	for {
		time.Sleep(drainPollInterval)
		after := n.clock.Now().Sub(start)
		if after >= maxDrain || after >= minDrain && n.host.IdleTime() >= minIdleBeforeExit && n.tunnels.Serving() == 0 {
			n.log.Info().Dur("after", after).Int("open", n.host.Open()).Int("tunnels", n.tunnels.Serving()).Msg("drained")
			return
		}
	}
}
