package tdvm

import (
	"context"
	"os"

	"tarragondeal/platform"
)

// ReloadOn has the settings read again whenever a signal comes. Call it before
// the node runs. What a running process uses of them does not change; a file
// that has become unusable is told of before the next start meets it.
func (n *Node) ReloadOn(signals <-chan os.Signal, path string) {
	n.add("reload settings", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				n.reload(path)
			}
		}
	})
}

func (n *Node) reload(path string) {
	vm, err := platform.ReadSettings(path)
	if err != nil {
		n.log.Error().Err(err).Msg("settings can't be reloaded, those before stay")
		return
	}
	n.log.Info().Bool("sameAddresses", vm.Callers == n.vm.Callers && vm.Store == n.vm.Store).Msg("settings reloaded")
}
