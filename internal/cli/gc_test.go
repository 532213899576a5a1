package cli

import (
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against a memory limit beyond the machine's memory, and against one below the records.
func TestMemoryLimit(t *testing.T) {
	for _, c := range []struct {
		name            string
		memory, records table.Size
		platform        bool
		want            int64
	}{
		{"no memory set", 0, 256 << 20, false, 768 << 20},
		{"smallest machine of the platform", 136 << 20, 256 << 20, true, 68 << 20},
		{"few records", 136 << 20, 1 << 20, false, 34 << 20},
		{"many records", 136 << 20, 256 << 20, false, 102 << 20},
		{"large machine", 16 << 30, 256 << 20, false, 768 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := settings.Settings{Limits: settings.Limits{Memory: c.memory, RecordBytes: c.records}}
			if c.platform {
				cfg.Platform = &settings.Platform{}
			}
			is.New(t).Equal(memoryLimit(cfg), c.want)
		})
	}
}
