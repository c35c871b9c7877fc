package tarragondeal

// Topic names a kind of message that is spread to all nodes.
type Topic string

// MaxSpreadBytes bounds one message that is spread.
const MaxSpreadBytes = 4 << 10

// Spread carries small messages from one node to all others along a sparse
// graph, within a second or two. Messages may come twice, late, out of order,
// or, when a node is cut off, never: state that must not be missed needs a
// second way.
type Spread interface {
	// Send spreads a message. It does not block, and reports false when the
	// message is too large or too much is waiting.
	Send(t Topic, payload []byte) bool
	// Subscribe hands later messages of a topic to receive, one at a time.
	// Call it before the node runs.
	Subscribe(t Topic, receive func(from NodeID, payload []byte))
}
