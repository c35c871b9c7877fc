package tdvm

import (
	"context"
	"os"

	"tarragondeal/platform"
)

// ReloadOn reads the settings file at path again whenever a signal arrives. It
// must be called before Run. The running process keeps its settings; the reload
// only validates the file, so that an invalid one is logged before the next
// start.
func (n *Node) ReloadOn(signals <-chan os.Signal, path string) {
	n.addTask("reload settings", func(ctx context.Context) error {
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
		n.log.Error().Err(err).Msg("can't reload settings, keeping the current ones")
		return
	}
	n.log.Info().Bool("sameAddresses", vm.Callers == n.vm.Callers && vm.Store == n.vm.Store).Msg("settings reloaded")
}
