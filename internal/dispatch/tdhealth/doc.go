// Package tdhealth tracks the health of backend servers: which are down, which are
// leaving, and which are stragglers, slower than the others of their pool.
//
// # Usage
//
//	rates := tdhealth.NewRates()
//	rates.Observe(now, server, pool, sample)
//	rates.Refresh(now, time.Minute)
//	slots = rates.UsableSlots(server, slots)
//
//	var s tdhealth.Status
//	s.Crashed(now)
//	if s.Due(now, time.Second) {
//		// Probe the server, then call s.Probed.
//	}
//
// A server that broke the connection of a request is down until a probe succeeds
// that began after the error: a probe that was already running may have reached
// the server before it failed. This rule follows the Fault Tolerance Service of
// Greenplum, where a probe on demand shares the result of another probe only if
// it was requested before that probe began.
package tdhealth
