package cli

import (
	"os"
	"runtime/debug"

	"github.com/turmericsail/turmericsail/internal/settings"
)

const (
	// gcPercent trades memory for processor time: a request makes about 95
	// allocations, and with the default of 100 the collector runs many times a second.
	gcPercent = 400
	// platformGCPercent saves memory on the platform's small machines, which serve about ten requests a second each.
	platformGCPercent = 50
	// gcHeadroom is what an instance may use beside its records before the collector
	// runs more often.
	gcHeadroom = 256 << 20
)

// tuneGC sets the collector for an instance unless the environment does.
func tuneGC(cfg settings.Settings) {
	percent := gcPercent
	if cfg.Platform != nil {
		percent = platformGCPercent
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(2*int64(cfg.Limits.RecordBytes) + gcHeadroom)
	}
}
