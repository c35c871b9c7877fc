// Package tdplatform is a fake of the platform: the key-value service with
// compare-and-swap, leases and watches, the list of VMs, the endpoint for
// server orders, and the usage sink. It serves the messages of tdwire over
// HTTP and can inject faults.
//
// # Usage
//
//	p := tdplatform.New(tdplatform.Options{})
//	srv := httptest.NewServer(p.Handler())
//	p.SetOutage(true)
//
// It records the orders and usage reports it received; see Platform.Recorded.
package tdplatform
