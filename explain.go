package tarragondeal

// Explanation says where a node would send a request now, and why. Nothing is sent.
type Explanation struct {
	Node       NodeID             `json:"node"`
	Version    Version            `json:"version"` // Of the configuration.
	Route      string             `json:"route"`
	Workspace  string             `json:"workspace,omitempty"`
	Class      string             `json:"class"`
	Tier       int                `json:"tier"`
	Tight      bool               `json:"tight"` // A long prompt beside it would make its pauses too long.
	Action     string             `json:"action"`
	Reason     string             `json:"reason,omitempty"` // Why it would not be sent.
	RetryAfter Duration           `json:"retryAfter,omitempty"`
	Servers    []ServerAssessment `json:"servers"` // Those that may be used first, the best of them first.
}

// ServerAssessment is what a node knows of a server for a request. The costs are estimates;
// the server with the lowest sum is preferred, but for a random part.
type ServerAssessment struct {
	Server     ServerID `json:"server"`
	Pool       string   `json:"pool"`
	DataCentre string   `json:"dataCentre"`
	Excluded   string   `json:"excluded,omitempty"` // Why it may not be used; empty if it may be.
	Running    int      `json:"running"`
	Slots      int      `json:"slots"`
	Tight      int      `json:"tight,omitempty"` // Of the running requests.
	Tokens     int      `json:"tokens,omitempty"`
	KVTokens   int      `json:"kvTokens,omitempty"`
	Cached     int      `json:"cached,omitempty"` // Prompt tokens that it is expected to have cached.
	Backlog    Duration `json:"backlog,omitempty"`
	ReportAge  Duration `json:"reportAge,omitempty"` // Of the load that it reported last.
	Cost       Duration `json:"cost"`
	Parts      []Cost   `json:"parts,omitempty"` // Of the cost, without those that are zero.
}

// Cost is a part of an estimated cost.
type Cost struct {
	Name string   `json:"name"`
	Time Duration `json:"time"`
}
