package tdvm

import (
	"context"
	"os"

	"tarragondeal/platform"
)

// Reload reads the settings again whenever a signal comes, until ctx ends. What
// a running process uses of them does not change; a file that has become
// unusable is told of before the next start meets it.
func (n *Node) Reload(ctx context.Context, signals <-chan os.Signal, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		vm, err := platform.ReadSettings(path)
		if err != nil {
			n.log.Error().Err(err).Msg("settings can't be reloaded, those before stay")
			continue
		}
		n.log.Info().Bool("sameAddresses", vm.Callers == n.vm.Callers && vm.Store == n.vm.Store).Msg("settings reloaded")
	}
}
