package tarragondeal

import (
	"context"
	"time"
)

// Version is the number of a published set. The version in force at a node
// never decreases.
type Version uint64

// View is one published set with its names resolved. It is immutable.
type View struct {
	Version        Version
	Set            *Set
	DataCentres    map[string]*DataCentre
	ServerPools    map[string]*ServerPool
	RequestClasses map[string]*RequestClass
	Workspaces     map[string]*Workspace
	Routes         map[string]*Route
	Keys           map[string]*Key
	LowestTier     int // Of all classes and workspaces.
}

// NewView indexes a validated set. The set must not be modified afterwards.
func NewView(v Version, set *Set) *View {
	return &View{
		Version:        v,
		Set:            set,
		DataCentres:    index(set.DataCentres, func(o *DataCentre) string { return o.Name }),
		ServerPools:    index(set.ServerPools, func(o *ServerPool) string { return o.Name }),
		RequestClasses: index(set.RequestClasses, func(o *RequestClass) string { return o.Name }),
		Workspaces:     index(set.Workspaces, func(o *Workspace) string { return o.Name }),
		Routes:         index(set.Routes, func(o *Route) string { return o.Name }),
		Keys:           index(set.Keys, func(o *Key) string { return o.Name }),
		LowestTier:     lowestTier(set),
	}
}

func lowestTier(set *Set) int {
	lowest := 0
	for n := range set.RequestClasses {
		lowest = max(lowest, set.RequestClasses[n].Tier)
	}
	for n := range set.Workspaces {
		lowest = max(lowest, set.Workspaces[n].Tier)
	}
	return lowest
}

func index[T any](objects []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(objects))
	for n := range objects {
		o := &objects[n]
		m[name(o)] = o
	}
	return m
}

// Config gives access to the published set that is in force at a node.
type Config interface {
	// View returns the set in force, or nil before the first one is known.
	View() *View
	// Changed returns a channel that is closed when a newer set comes into
	// force. Call Changed again after each close.
	Changed() <-chan struct{}
}

// Publication is one item in the history of published sets.
type Publication struct {
	Version Version   `json:"version"`
	At      time.Time `json:"at"`
	By      string    `json:"by"`   // The name that the publishing operator gave.
	Note    string    `json:"note"` // The reason for the change.
}

// Publisher publishes sets. Callers validate a set before publishing it.
type Publisher interface {
	Config
	// Publish writes a set that was based on version base. The error is a
	// *ConflictError when another set was published in between, and a
	// *StoreError when the store did not confirm the write.
	Publish(ctx context.Context, base Version, set *Set, p Publication) (Version, error)
	// InForce waits until every live node has version v or a later one in
	// force, or ctx ends. It returns the nodes that are still behind.
	InForce(ctx context.Context, v Version) (lagging []NodeID, err error)
	// History returns the newest publications, newest first.
	History(ctx context.Context, limit int) ([]Publication, error)
	// Published returns the set of one version.
	Published(ctx context.Context, v Version) (*Set, error)
}
