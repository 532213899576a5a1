package cli

import (
	"os"
	"runtime/debug"

	"github.com/turmericsail/turmericsail/internal/settings"
)

const (
	// gcPercent trades memory for processor time: a request makes about 95 allocations,
	// and with Go's default of 100 the collector runs many times a second.
	gcPercent = 400
	// platformGCPercent saves memory on the platform, whose small machines serve about ten requests a second each.
	platformGCPercent = 50
	// gcHeadroom is the memory in bytes that an instance may use in addition to its records
	// before the collector runs more often.
	gcHeadroom = 256 << 20
)

// tuneGC configures the garbage collector; the environment variables GOGC and GOMEMLIMIT take precedence.
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
