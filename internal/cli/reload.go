package cli

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/internal/gateway"
	"github.com/turmericsail/turmericsail/internal/settings"
)

// settingsPollInterval is the interval between checks of the settings file: it may change without a signal, and
// the platform requires a change to take effect within two seconds.
const settingsPollInterval = time.Second

// watchSettings applies changes of the settings file until ctx ends. SIGHUP triggers an immediate check.
func watchSettings(ctx context.Context, path string, p process) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	inForce, err := os.ReadFile(path)
	if err != nil {
		p.log.Error(err, "settings unreadable", "path", path)
	}
	modified := modTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-tick.C:
			if now := modTime(path); now.Equal(modified) {
				continue
			}
		}
		modified = modTime(path)
		inForce = p.reload(path, inForce, signalled)
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read, so that a later
// successful check counts as a change.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file if it differs from the content in force, and returns the content then in force.
func (p process) reload(path string, inForce []byte, signalled bool) []byte {
	data, err := os.ReadFile(path)
	log := p.log.WithValues("path", path, "signal", signalled)
	switch {
	case err != nil:
		log.Error(err, "settings unreadable, the last ones stay in force")
		return inForce
	case bytes.Equal(data, inForce):
		log.Info("settings unchanged")
		return inForce
	}
	cfg, err := settings.Parse(data)
	if err == nil {
		err = gateway.Reload(p.Kernel, cfg, log)
	}
	if err != nil {
		log.Error(err, "settings refused, the last ones stay in force")
		return inForce
	}
	return data
}
