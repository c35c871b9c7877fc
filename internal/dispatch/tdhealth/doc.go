// Package tdhealth judges backend servers: which are down, which are leaving,
// and which run slower than the others of their pool.
//
// # Usage
//
//	rates := tdhealth.NewRates()
//	rates.Observe(now, server, pool, sample)
//	rates.Refresh(now, time.Minute)
//	room := rates.Room(server, slots)
//
//	var s tdhealth.Status
//	s.Crashed(now)
//	if s.Due(now, time.Second) {
//		// Probe the server, then call s.Probed.
//	}
//
// A server that broke a request is out until a probe succeeds which began
// after that error: a probe that was already under way may have met the
// server before it failed. This rule follows the Fault Tolerance Service of
// Greenplum, whose probes asked for on demand share a running result only if
// they were asked for before it began.
package tdhealth
