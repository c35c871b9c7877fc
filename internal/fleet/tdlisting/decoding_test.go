package tdlisting

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// usableBound is how long the copy of the store may take to apply a small change, and to
// say up to which revision it is complete.
const usableBound = 200 * time.Millisecond

// TestCopyIsUsedWhileConfigurationIsDecoded guards against a node that sends no states and sends
// requests to servers that leave for as long as it decodes a configuration.
func TestCopyIsUsedWhileConfigurationIsDecoded(t *testing.T) {
	m := tdmirror.New(nil, &fakeClock{now: 1}, tdmirror.Options{Prefixes: []string{"config", "s/"}, Log: zerolog.Nop()})
	decoding, decoded := make(chan struct{}), make(chan struct{})
	config := NewConfig("config", &fakeClock{}, zerolog.Nop(), func([]byte, tarragondeal.Version) (tarragondeal.Version, error) {
		close(decoding)
		<-decoded
		return 2, nil
	})
	lists := make(chan []tarragondeal.Server, 8)
	servers := NewServers("s/", decode, &fakeClock{}, zerolog.Nop(), func(list []tarragondeal.Server) { lists <- list })
	m.Subscribe(config.Follow)
	m.Subscribe(servers.Follow)
	m.Apply([]tarragondeal.Entry{{Key: "s/1", Value: []byte("live"), Revision: 1}}, tarragondeal.Position{Revision: 1}, true)
	<-lists

	go func() { _ = config.Run(t.Context()) }()
	defer close(decoded)
	go m.Apply([]tarragondeal.Entry{{Key: "config", Value: []byte("2"), Revision: 2}}, tarragondeal.Position{Revision: 2}, false)
	<-decoding
	held := make(chan tarragondeal.Revision, 1)
	go func() {
		m.ApplyAhead([]tarragondeal.Entry{{Key: "s/1", Value: []byte("leaving"), Revision: 3}}, 0)
		m.Apply([]tarragondeal.Entry{{Key: "s/1", Value: []byte("leaving"), Revision: 3}}, tarragondeal.Position{Revision: 3}, false)
		held <- m.Position().Revision
	}()
	select {
	case rev := <-held:
		if rev != 3 {
			t.Errorf("the copy is complete up to revision %d", rev)
		}
		if list := <-lists; list[0].State != "leaving" {
			t.Errorf("the server is listed as %s", list[0].State)
		}
	case <-time.After(usableBound):
		t.Errorf("the copy was held for %s while a configuration was decoded", usableBound)
	}
}
