package configsync

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Settings configures a Syncer. Zero values select the defaults.
type Settings struct {
	// CompareInterval is the mean interval between comparisons with a random member. Default 1s.
	CompareInterval table.Duration `json:"compare_interval,omitempty"`
	// CallTimeout bounds a comparison with another instance. Default 1s.
	CallTimeout table.Duration `json:"call_timeout,omitempty"`
	// PullTimeout bounds a transfer of rows, which may wait for the control byte budget. Default 10s.
	PullTimeout table.Duration `json:"pull_timeout,omitempty"`
	// WatchTimeout bounds a watch of the store and a write of the head. Set the wait of the
	// store driver to less than this. Default 6s.
	WatchTimeout table.Duration `json:"watch_timeout,omitempty"`
	// RetryMin is the backoff after the first failed call of the store. Default 100ms.
	RetryMin table.Duration `json:"retry_min,omitempty"`
	// RetryMax is the longest backoff after failed calls of the store. Default 2s.
	RetryMax table.Duration `json:"retry_max,omitempty"`
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.CompareInterval, table.Duration(time.Second))
	orDefault(&s.CallTimeout, table.Duration(time.Second))
	orDefault(&s.PullTimeout, table.Duration(10*time.Second))
	orDefault(&s.WatchTimeout, table.Duration(6*time.Second))
	orDefault(&s.RetryMin, table.Duration(100*time.Millisecond))
	orDefault(&s.RetryMax, table.Duration(2*time.Second))
	return s
}
