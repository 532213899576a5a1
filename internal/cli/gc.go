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
		debug.SetMemoryLimit(memoryLimit(cfg))
	}
}

// memoryLimit returns the soft memory limit of the collector in bytes. With the memory of the machine set, it is a
// quarter of it: with gcPercent, garbage of clients' requests would otherwise take what the kernel, the program's text
// and live memory need. On the platform, platformGCPercent keeps garbage low already, and the limit is half of the
// memory, since an instance that reads the store for others has more live memory. Records of requests are live for
// their whole window, so an instance that keeps them gets room for them, up to three quarters; the collector would
// run without pause below its live memory.
func memoryLimit(cfg settings.Settings) int64 {
	limit, records := 2*int64(cfg.Limits.RecordBytes)+gcHeadroom, 2*int64(cfg.Limits.RecordBytes)
	machine := int64(cfg.Limits.Memory)
	switch {
	case machine == 0:
		return limit
	case cfg.Platform != nil:
		return min(limit, machine/2)
	}
	return min(limit, max(machine/4, min(records, machine*3/4)))
}
