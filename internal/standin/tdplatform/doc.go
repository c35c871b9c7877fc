// Package tdplatform is a small stand-in for the platform: the key-value
// service with compare-and-swap, leases and watches, the list of VMs, the
// interface that takes orders of backend servers, and the usage sink. It
// serves the messages of tdwire over HTTP and can be told to fail.
//
// # Usage
//
//	p := tdplatform.New(tdplatform.Options{})
//	srv := httptest.NewServer(p.Handler())
//	p.SetOutage(true)
//
// It records what it was told, so that a test can check it afterwards.
package tdplatform
