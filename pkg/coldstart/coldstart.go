// Package coldstart bounds the work of an upstream that has just started.
//
// A Tracker for each upstream runs at the allocator of the upstream. A cold
// upstream gets the allowance of its pool row, concurrent requests over all
// instances, which pkg/quota shares out. The allowance doubles after a number of
// good answers to requests that ran at the current level, up to the slots; after
// as many good answers at the slots the upstream is warm and needs no grants.
//
// Signs of a new cold start bring it back to the allowance at once: a new start
// ID, a report header that says cold, the loss of all connections, a return
// after it was gone, and a sudden shift of its latency against its own history.
//
// Entries count answers in a Meter for each upstream and report them in batches.
// A Meter takes its upstream for cold by itself as soon as it sees a sign, and
// for warm only when the allocator says so. Every fall has a new generation;
// answers of an earlier generation say nothing about the present start.
package coldstart

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Cause tells why an upstream is cold.
type Cause string

// Causes of a fall back to cold.
const (
	CauseUnknown  Cause = "unknown"  // the allocator has no history of the upstream
	CauseReturned Cause = "returned" // it was gone from the list or taken out
	CauseHeader   Cause = "header"   // its answers say cold
	CauseStart    Cause = "start"    // its answers carry a new start ID
	CauseLatency  Cause = "latency"  // its latency rose suddenly
	CauseLost     Cause = "lost"     // connections broke and nobody has good answers
)

// Settings are the rules of detection.
type Settings struct {
	// LatencyFactor is how many times its usual latency an upstream must reach to
	// count as cold. Smaller rises are left to the adaptive limit. Default 4.
	LatencyFactor float64 `json:"latency_factor"`
	// LatencyFloor is the smallest rise that counts; below it, noise of the machines decides. Default 20ms.
	LatencyFloor table.Duration `json:"latency_floor"`
	// LatencyBatches is how many batches in succession must show the rise. Default 2.
	LatencyBatches int `json:"latency_batches"`
	// LatencyPause is the least time between falls for latency alone, so that a
	// pool under overload does not lose its capacity again and again. Default 30s.
	LatencyPause table.Duration `json:"latency_pause"`
	// LossWindow is how long a good answer speaks for an upstream although another
	// instance lost its connections. Default 1s.
	LossWindow table.Duration `json:"loss_window"`
	// ColdInterval is the time between reports of a cold upstream. Default 250ms.
	ColdInterval table.Duration `json:"cold_interval"`
	// WarmInterval is the time between reports of a warm upstream without signs. Default 5s.
	WarmInterval table.Duration `json:"warm_interval"`
	// MaxBatches bounds the batches that one instance sends in a ColdInterval. Default 16.
	MaxBatches int `json:"max_batches"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		LatencyFactor: 4, LatencyFloor: table.Duration(20 * time.Millisecond), LatencyBatches: 2,
		LatencyPause: table.Duration(30 * time.Second), LossWindow: table.Duration(time.Second),
		ColdInterval: table.Duration(250 * time.Millisecond), WarmInterval: table.Duration(5 * time.Second),
		MaxBatches: 16,
	}
}

// Validate returns every problem of the settings.
func (s Settings) Validate(path string) table.Problems {
	var p table.Problems
	if s.LatencyFactor <= 1 {
		p.Add(path+".latency_factor", "is not above 1", "use a factor such as 4")
	}
	if s.LatencyBatches < 1 || s.MaxBatches < 1 {
		p.Add(path, "latency_batches or max_batches is less than 1", "use 1 or more")
	}
	if s.ColdInterval <= 0 || s.WarmInterval < s.ColdInterval {
		p.Add(path, "cold_interval is not positive or above warm_interval", "use for example 250ms and 5s")
	}
	if s.LatencyFloor < 0 || s.LatencyPause < 0 || s.LossWindow < 0 {
		p.Add(path, "latency_floor, latency_pause or loss_window is negative", "use zero or more")
	}
	return p
}

// Key names an upstream of a pool.
type Key struct {
	Pool     string
	Upstream string
}

// Resource is the name of the allowance in pkg/quota.
func (k Key) Resource() string { return "cold/" + k.Pool + "/" + k.Upstream }

// Ramp is the path from cold to warm, from the pool row.
type Ramp struct {
	// Allowance is the limit at the start.
	Allowance int
	// Answers is the number of good answers between two levels.
	Answers int
	// Slots is the highest level.
	Slots int
}

// RampOf returns the ramp of a pool.
func RampOf(p table.Pool) Ramp {
	return Ramp{Allowance: p.ColdStart.Allowance, Answers: p.ColdStart.Answers, Slots: p.Slots}.bounded()
}

func (r Ramp) bounded() Ramp {
	r.Slots = max(1, r.Slots)
	r.Allowance = min(max(1, r.Allowance), r.Slots)
	r.Answers = max(1, r.Answers)
	return r
}

// Batch sums up the answers of one upstream at one instance since its last batch.
type Batch struct {
	Sequence     uint64
	StartID      string
	ReportedCold bool
	KnownWarm    bool
	Generation   uint64
	Level        int
	Good         int
	Bad          int
	Latency      time.Duration // mean of the good answers
	// GoodAge is the time since the last good answer.
	GoodAge time.Duration
	// Lost tells that connections broke after the last good answer.
	Lost bool
}

// State is what the allocator says about an upstream.
type State struct {
	Warm       bool
	Limit      int
	StartID    string
	Generation uint64
	Cause      Cause
	Since      time.Time
}
