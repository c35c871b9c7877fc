// Package tdport finds free loopback addresses for processes that a test or a
// measurement starts and may restart at the same address.
//
// # Usage
//
//	addr, err := tdport.Free()
//
// The ports lie below the kernel's ephemeral range, so that no outgoing
// connection takes a port between two starts of a process.
package tdport

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ports are returned in sequence, starting at a random one.
const (
	firstPort = 10000
	portCount = 22000
	maxTries  = 200
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// Free returns a loopback address on which no process listens.
func Free() (netip.AddrPort, error) {
	for range maxTries {
		port := uint16(firstPort + nextPort.Add(1)%portCount)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		ln, err := net.Listen("tcp", addr.String())
		if err == nil {
			return addr, ln.Close()
		}
	}
	return netip.AddrPort{}, eris.New("no free port was found")
}
