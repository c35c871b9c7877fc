package tdnode

// buildCapacity makes the duty that orders backend servers.
func (n *Node) buildCapacity() error { return nil }
