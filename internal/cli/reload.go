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

// settingsPoll is how often the settings file is looked at: it may change without a signal, and the
// platform gives two seconds for a change.
const settingsPoll = time.Second

// watchSettings applies changes of the settings file until ctx ends. SIGHUP makes it look at once.
func watchSettings(ctx context.Context, path string, p process) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	seen, err := os.ReadFile(path)
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
		seen = p.reload(path, seen, signalled)
	}
}

// modTime returns the zero time for a file that cannot be read; the next change of it is then seen.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the file and returns the content that is in force.
func (p process) reload(path string, seen []byte, signalled bool) []byte {
	data, err := os.ReadFile(path)
	log := p.log.WithValues("path", path, "signal", signalled)
	switch {
	case err != nil:
		log.Error(err, "settings unreadable, the last ones stay in force")
		return seen
	case bytes.Equal(data, seen):
		log.Info("settings unchanged")
		return seen
	}
	cfg, err := settings.Parse(data)
	if err == nil {
		err = gateway.Reload(p.Kernel, cfg, log)
	}
	if err != nil {
		log.Error(err, "settings refused, the last ones stay in force")
		return seen
	}
	return data
}
