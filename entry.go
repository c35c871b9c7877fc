package tarragondeal

// Further reasons of the callers' side.
const (
	ReasonKeyMisplaced Reason = "keyMisplaced" // A key outside Authorization: Bearer.
	ReasonTooLarge     Reason = "tooLarge"     // The body is over its limit.
	ReasonSlow         Reason = "slowSender"   // The body did not come in time.
	ReasonConnections  Reason = "connections"  // The key has too many requests open at a node.
)
