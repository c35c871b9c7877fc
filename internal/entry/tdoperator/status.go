package tdoperator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"tarragondeal"
)

// dutiesTimeout is the maximum time for reading the duties.
const dutiesTimeout = 2 * time.Second

func (a *API) status(r *http.Request, _ httprouter.Params) (any, error) {
	out := Status{Self: a.Members.Self().Node, Version: a.version(), Duties: []Duty{}}
	for _, m := range a.Members.Members() {
		out.Nodes = append(out.Nodes, NodeStatus{
			Node: m.Node, DataCentre: m.DataCentre, State: stateName(m.State),
			Version: m.Config, Load: m.Load, Entry: m.Entry, Peer: m.Peer,
		})
	}
	out.Servers = a.serverGroups()
	a.addDuties(r.Context(), &out)
	return out, nil
}

// addDuties adds the duties and their holders to out. If they can't be read, it
// sets out.DutiesError, and the rest of the status is still returned.
func (a *API) addDuties(ctx context.Context, out *Status) {
	if a.Duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutiesTimeout)
	defer cancel()
	list, err := a.Duties(ctx)
	if err != nil {
		out.DutiesError = err.Error()
		return
	}
	out.Duties = append(out.Duties, list...)
}

// serverGroups returns the numbers of backend servers, sorted by pool and data
// centre.
func (a *API) serverGroups() []ServerGroup {
	index := make(map[[2]string]int)
	out := []ServerGroup{}
	for _, s := range a.Servers() {
		key := [2]string{s.Pool, s.DataCentre}
		n, ok := index[key]
		if !ok {
			n = len(out)
			index[key] = n
			out = append(out, ServerGroup{Pool: s.Pool, DataCentre: s.DataCentre})
		}
		if s.State == tarragondeal.VMLeaving {
			out[n].Leaving++
		} else {
			out[n].Live++
		}
	}
	slices.SortFunc(out, func(a, b ServerGroup) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}
