package tdwire

// Resume is a request to an engine to continue an interrupted stream.
type Resume struct {
	Request string `json:"requestId"` // With the attempt number, as sent to the engine.
	From    int    `json:"from"`      // Number of events already received.
}
