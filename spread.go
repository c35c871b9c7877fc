package tarragondeal

// Topic names a kind of message that is broadcast to all nodes.
type Topic string

// MaxSpreadBytes is the size limit of one broadcast message.
const MaxSpreadBytes = 4 << 10

// Spread broadcasts small messages from one node to all others along a sparse
// graph, within one or two seconds. Messages may arrive twice, late, out of
// order or, if a node is partitioned, never: state that every node must
// receive needs a second mechanism.
type Spread interface {
	// Send broadcasts a message. It does not block, and reports false when the
	// message is too large or the queue is full.
	Send(t Topic, payload []byte) bool
	// Subscribe passes later messages of a topic to receive, one at a time.
	// Call it before the node runs.
	Subscribe(t Topic, receive func(from NodeID, payload []byte))
}
