package tarragondeal

// NodeID names one entry VM's process. It comes from the settings and is
// unique among the live nodes of a deployment.
type NodeID string

// ServerID names one backend server, as the platform's VM list names it.
type ServerID string

// RequestID names one request of a caller. It is unique in the fleet.
type RequestID string

// GrantID names the permission to run one attempt at one backend server.
type GrantID string
