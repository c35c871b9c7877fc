package tarragondeal

// Freshness reports whether a node may rely on the configuration that it has
// in force. Components that admit requests refuse them while it is stale.
type Freshness interface {
	// Stale reports whether the node may have missed a newer version for
	// longer than its settings permit: because it was paused and has not
	// queried the others since, or because it reaches neither the key-value
	// service nor a peer.
	Stale() bool
}

// PredecessorLister is implemented by Held leases. Predecessors returns all
// earlier holders that may still act, oldest first; Held.Predecessor returns the
// last of them only. A holder is removed once a later one has passed a Check, so
// a duty must make sure that none of them still acts before its first Check.
type PredecessorLister interface {
	Predecessors() []string
}
