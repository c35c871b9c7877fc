// Package tdengine is a fake model engine: it streams OpenAI-compatible
// answers, runs a limited number of requests concurrently in order of
// priority, caches a limited number of prompt prefix blocks, reports its load
// with a lag, and accepts orders.
//
// # Usage
//
//	e := tdengine.New(tdengine.Options{Name: "engine1", Slots: 4})
//	srv := httptest.NewServer(e.Handler())
//	e.Straggle(5)
//
// The answer is a function of the prompt, so that a test can verify that an
// answer is complete and belongs to its request; see Words. The engine records
// the requests that reached it; see Seen.
package tdengine
