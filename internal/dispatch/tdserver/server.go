// Package tdserver follows the platform's list of backend servers.
//
// # Usage
//
//	l := tdserver.New(list, time.Second, log)
//	go func() { done <- l.Run(ctx) }()
//	servers := l.Servers()
package tdserver

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
)

// List is the last known list of backend servers. While the platform can't
// be asked, the last list stays.
type List struct {
	vms     tarragondeal.VMList
	every   time.Duration
	log     zerolog.Logger
	mu      sync.Mutex
	servers []tarragondeal.Server
}

// New returns an empty list that is read again at every interval.
func New(vms tarragondeal.VMList, every time.Duration, log zerolog.Logger) *List {
	return &List{vms: vms, every: every, log: log}
}

// Servers returns the last known servers. The caller must not change them.
func (l *List) Servers() []tarragondeal.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers
}

// Run reads the list until the context ends.
func (l *List) Run(ctx context.Context) error {
	t := time.NewTicker(l.every)
	defer t.Stop()
	for {
		l.read(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *List) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.every)
	defer cancel()
	servers, err := l.vms.Servers(ctx)
	if err != nil {
		l.log.Warn().Err(err).Msg("can't read the list of VMs")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = servers
}
