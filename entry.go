package tarragondeal

// Further reasons for which the entry refuses a request.
const (
	ReasonKeyMisplaced Reason = "keyMisplaced" // A key outside Authorization: Bearer.
	ReasonTooLarge     Reason = "tooLarge"     // The body exceeds its size limit.
	ReasonSlow         Reason = "slowSender"   // The body was not received in time.
	ReasonConnections  Reason = "connections"  // The key has too many requests open at a node.
)
