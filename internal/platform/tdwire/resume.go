package tdwire

// Resume asks an engine to go on with a stream that broke.
type Resume struct {
	Request string `json:"requestId"` // With its attempt, as the engine got it.
	From    int    `json:"from"`      // Events that came already.
}
