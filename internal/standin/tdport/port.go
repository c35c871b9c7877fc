// Package tdport finds loopback addresses for processes that a test or a
// measurement starts, and starts again at the same address.
//
// # Usage
//
//	addr, err := tdport.Free()
//
// The ports lie below those that the kernel hands out for outgoing
// connections, so that none of these takes a port between two starts.
package tdport

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// The ports that are handed out, in turn from a random one on.
const (
	firstPort = 10000
	ports     = 22000
	tries     = 200
)

var next atomic.Uint32

func init() { next.Store(rand.Uint32N(ports)) }

// Free returns an address that nobody listens on.
func Free() (netip.AddrPort, error) {
	for range tries {
		port := uint16(firstPort + next.Add(1)%ports)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		ln, err := net.Listen("tcp", addr.String())
		if err == nil {
			return addr, ln.Close()
		}
	}
	return netip.AddrPort{}, eris.New("no free port was found")
}
