package tdresult

import (
	"slices"

	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcheck"
)

// workspaceDemand is how many requests a workspace sent and how many of them
// were served.
type workspaceDemand struct {
	name              string
	requested, served float64
}

// worstShare returns the smallest fraction of its fair share that a workspace
// got, and that workspace's name. The fair share is the max-min fair allocation
// of all served requests, with equal weights and at most what was requested.
func worstShare(d *tddeploy.Deployment, requests []tdcheck.Request) (share float64, name string) {
	byName := make(map[string]*workspaceDemand)
	for n := range d.Set.Workspaces {
		ws := d.Set.Workspaces[n].Name
		byName[ws] = &workspaceDemand{name: ws}
	}
	for n := range requests {
		q := &requests[n]
		w := byName[q.Workspace]
		if w == nil || excluded(q) {
			continue
		}
		w.requested++
		if q.Complete && q.Matches {
			w.served++
		}
	}
	var all []workspaceDemand
	served := 0.0
	for _, w := range byName {
		if w.requested > 0 {
			all = append(all, *w)
			served += w.served
		}
	}
	return minFairShare(all, served)
}

// minFairShare allocates the served requests to the workspaces in order of
// increasing demand and returns the smallest fraction.
func minFairShare(all []workspaceDemand, served float64) (share float64, name string) {
	slices.SortFunc(all, func(a, b workspaceDemand) int {
		if a.requested < b.requested {
			return -1
		}
		return 1
	})
	share = 1
	for n, w := range all {
		fair := min(w.requested, served/float64(len(all)-n))
		served -= fair
		if fraction := w.served / fair; fair > 0 && fraction < share {
			share, name = fraction, w.name
		}
	}
	return share, name
}
