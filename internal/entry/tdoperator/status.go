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

// dutiesTimeout bounds how long the duties may take to read.
const dutiesTimeout = 2 * time.Second

func (o *Operator) status(r *http.Request, _ httprouter.Params) (any, error) {
	out := Status{Self: o.Members.Self().Node, Version: o.version(), Duties: []Duty{}}
	for _, m := range o.Members.Members() {
		out.Nodes = append(out.Nodes, NodeStatus{
			Node: m.Node, DataCentre: m.DataCentre, State: stateName(m.State),
			Version: m.Config, Load: m.Load, Entry: m.Entry, Peer: m.Peer,
		})
	}
	out.Servers = o.groups()
	o.duties(r.Context(), &out)
	return out, nil
}

// duties adds who has which duty. When that can't be read, the rest of the
// status is of use all the same.
func (o *Operator) duties(ctx context.Context, out *Status) {
	if o.Duties == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutiesTimeout)
	defer cancel()
	list, err := o.Duties(ctx)
	if err != nil {
		out.DutiesError = err.Error()
		return
	}
	out.Duties = append(out.Duties, list...)
}

func (o *Operator) groups() []ServerGroup {
	index := make(map[[2]string]int)
	out := []ServerGroup{}
	for _, s := range o.Servers() {
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
