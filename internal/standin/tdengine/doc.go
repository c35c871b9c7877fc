// Package tdengine is a small stand-in for a model engine: it streams
// OpenAI-compatible answers, runs a bounded number of requests at once in
// order of priority, caches prompt prefixes in limited memory, reports its
// load with a lag, and takes orders.
//
// # Usage
//
//	e := tdengine.New(tdengine.Options{Name: "engine1", Slots: 4})
//	srv := httptest.NewServer(e.Handler())
//	e.Straggle(5)
//
// The answer to a prompt is a function of the prompt, so that a test can
// tell whether an answer is whole and whose it is: see Words. What reached
// the engine is recorded: see Seen.
package tdengine
