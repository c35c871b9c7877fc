// Package tdserver polls the platform's list of backend servers.
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

// List holds the last known list of backend servers. The list is kept while the
// platform is unavailable. A List is safe for concurrent use.
type List struct {
	vms      tarragondeal.VMList
	interval time.Duration
	log      zerolog.Logger
	mu       sync.Mutex
	servers  []tarragondeal.Server
}

// New returns an empty list. Run reads it from vms at every interval.
func New(vms tarragondeal.VMList, interval time.Duration, log zerolog.Logger) *List {
	return &List{vms: vms, interval: interval, log: log}
}

// Servers returns the last known servers. The caller must not change them.
func (l *List) Servers() []tarragondeal.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers
}

// Run reads the list at once and then at every interval, until the context ends.
// It always returns nil. A failed read is logged.
func (l *List) Run(ctx context.Context) error {
	t := time.NewTicker(l.interval)
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
	ctx, cancel := context.WithTimeout(ctx, l.interval)
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
