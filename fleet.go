package tarragondeal

// Freshness tells whether a node may rely on the configuration that it has
// in force. Parts that admit requests by it refuse them while it is stale.
type Freshness interface {
	// Stale reports whether the node may have missed a newer version for
	// longer than its settings permit: it was paused and has not asked
	// around since, or reaches neither the key-value service nor a peer.
	Stale() bool
}

// Succession is what a Held lease also tells: everybody who may still act
// under an earlier holding, oldest first. Held.Predecessor names the last of
// them only. A holder is struck off once a later one has passed a check, so
// a duty makes sure of all of them before its first Check.
type Succession interface {
	Predecessors() []string
}
