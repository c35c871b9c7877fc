package tdvm

import (
	"time"
)

const (
	// lookEvery is how often a stopping node looks whether it may end.
	lookEvery = 50 * time.Millisecond
	// keptTimes is how many times the time of an answer callers keep it.
	keptTimes = 3
	// quietFor is how long no request must have been open before a stopping
	// node ends.
	quietFor = 300 * time.Millisecond
	// endMargin is kept free before the platform kills the process.
	endMargin = 700 * time.Millisecond
)

// drain goes on serving until callers have turned to other nodes: they keep
// addresses for a while. It ends at the latest before the process is killed.
func (n *Node) drain() {
	start := n.clock.Now()
	n.host.Leave()
	n.log.Info().Int("open", n.host.Open()).Msg("leaving")
	least := keptTimes * addressTTL
	most := n.vm.Bounds.Grace - endMargin
	for {
		time.Sleep(lookEvery)
		after := n.clock.Now().Sub(start)
		if after >= most || after >= least && n.host.Quiet() >= quietFor {
			n.log.Info().Dur("after", after).Int("open", n.host.Open()).Msg("no longer serving")
			return
		}
	}
}
