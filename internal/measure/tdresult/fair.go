package tdresult

import (
	"slices"

	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcheck"
)

// demand is what one workspace asked for and got, in tokens.
type demand struct {
	name       string
	asked, got float64
}

// worst returns the least part of its fair share that a workspace got. The
// fair share is the max-min fair one of all that was served, each workspace
// counting the same and none getting more than it asked for.
func worst(d *tddeploy.Deployment, requests []tdcheck.Request) (share float64, name string) {
	byName := make(map[string]*demand)
	for n := range d.Set.Workspaces {
		ws := d.Set.Workspaces[n].Name
		byName[ws] = &demand{name: ws}
	}
	for n := range requests {
		q := &requests[n]
		w := byName[q.Workspace]
		if w == nil || unfair(q) {
			continue
		}
		w.asked++
		if q.Whole && q.Mine {
			w.got++
		}
	}
	var all []demand
	served := 0.0
	for _, w := range byName {
		if w.asked > 0 {
			all = append(all, *w)
			served += w.got
		}
	}
	return least(all, served)
}

// least fills the shares from the smallest demand up.
func least(all []demand, served float64) (share float64, name string) {
	slices.SortFunc(all, func(a, b demand) int {
		if a.asked < b.asked {
			return -1
		}
		return 1
	})
	share = 1
	for n, w := range all {
		fair := min(w.asked, served/float64(len(all)-n))
		served -= fair
		if part := w.got / fair; fair > 0 && part < share {
			share, name = part, w.name
		}
	}
	return share, name
}
