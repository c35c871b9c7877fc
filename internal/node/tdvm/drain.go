package tdvm

import (
	"context"
	"net/http"
	"time"

	"tarragondeal/internal/base/tdtask"
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
	// answerMargin is how long before the process ends at the latest the requests that are
	// still open are cut, so that their callers get an answer.
	answerMargin = 300 * time.Millisecond
)

// drain marks the node as not ready and keeps serving until callers have moved
// to other nodes, since they cache addresses, and other nodes need no connections
// through it. From then on it accepts no connection from callers, so that the requests
// in flight end in the time that is left. It returns killMargin before the platform
// kills the process at the latest.
func (n *Node) drain(g *tdtask.Group, callers *http.Server) {
	start := n.clock.Now()
	maxDrain := n.vm.Bounds.Grace - killMargin
	cutAfter := maxDrain - answerMargin
	n.host.Leave(start.Add(cutAfter))
	n.tunnels.Leave()
	n.log.Info().Int("open", n.host.Open()).Int("tunnels", n.tunnels.Serving()).Msg("leaving")
	minDrain := addressTTLFactor * addressTTL
	accepting, cut := true, false
	for {
		time.Sleep(drainPollInterval)
		after := n.clock.Now().Sub(start)
		if accepting && after >= minDrain {
			accepting = false
			n.log.Info().Dur("after", after).Int("open", n.host.Open()).Msg("accepting no more connections from callers")
			g.Go("stop accepting callers", func(ctx context.Context) error { return stopAccepting(ctx, callers) })
		}
		if !cut && after >= cutAfter {
			cut = true
			n.log.Info().Dur("after", after).Int("open", n.host.Open()).Msg("cutting the requests that are still open")
			n.host.Cut()
		}
		if after >= maxDrain || after >= minDrain && n.host.IdleTime() >= minIdleBeforeExit && n.tunnels.Serving() == 0 {
			n.log.Info().Dur("after", after).Int("open", n.host.Open()).Int("tunnels", n.tunnels.Serving()).Msg("drained")
			return
		}
	}
}

// stopAccepting closes the listener of srv, and its connections as they become idle,
// until ctx ends.
func stopAccepting(ctx context.Context, srv *http.Server) error {
	if err := srv.Shutdown(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
