// Package coldstart limits the load of an upstream that has just started.
//
// The allocator of an upstream runs a Tracker for it. A cold upstream may run as many
// concurrent requests, over all instances, as the allowance in its pool row; pkg/quota
// distributes them. The limit doubles after a number of good answers to requests that
// ran at the current level, up to the slots; after as many good answers at the slots
// the upstream is warm and its requests need no grants.
//
// Signs of a new cold start reset it to the allowance at once: a new start ID, a
// report header that says cold, the loss of all connections, a return after an
// absence, and a sudden rise of its latency against its own history.
//
// Each instance counts answers in a Meter per upstream and reports them in batches. A
// Meter treats its upstream as cold as soon as it sees such a sign, and as warm only
// when the allocator says so. Every reset to cold starts a new generation; answers of
// an earlier generation give no information about the current start.
package coldstart

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Cause is the reason why an upstream is cold.
type Cause string

// Causes of a reset to cold.
const (
	CauseUnknown  Cause = "unknown"  // the allocator has no history of the upstream
	CauseReturned Cause = "returned" // it was missing from the list or out of service
	CauseHeader   Cause = "header"   // its answers report that it is cold
	CauseStart    Cause = "start"    // its answers carry a new start ID
	CauseLatency  Cause = "latency"  // its latency rose suddenly
	CauseLost     Cause = "lost"     // connections broke and no instance has had good answers since
)

// Settings are the parameters of cold-start detection and reporting.
type Settings struct {
	// LatencyFactor is the multiple of its usual latency that an upstream must exceed to
	// count as cold. Smaller rises are left to the adaptive limit. Default 4.
	LatencyFactor float64 `json:"latency_factor"`
	// LatencyFloor is the smallest rise that counts; smaller ones may be noise of the machines. Default 20ms.
	LatencyFloor table.Duration `json:"latency_floor"`
	// LatencyBatches is how many consecutive batches must show the rise. Default 2.
	LatencyBatches int `json:"latency_batches"`
	// LatencyPause is the minimum time between resets caused by latency alone, so that a
	// pool under overload does not lose its capacity repeatedly. Default 30s.
	LatencyPause table.Duration `json:"latency_pause"`
	// LossWindow is how long a good answer counts as evidence that an upstream is up
	// although another instance lost its connections. Default 1s.
	LossWindow table.Duration `json:"loss_window"`
	// ColdInterval is the time between reports of a cold upstream. Default 250ms.
	ColdInterval table.Duration `json:"cold_interval"`
	// WarmInterval is the time between reports of a warm upstream without signs of a cold start. Default 5s.
	WarmInterval table.Duration `json:"warm_interval"`
	// MaxBatches bounds the batches that one instance sends per ColdInterval. Default 16.
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

// Validate returns all problems of the settings; path is their location in the configuration.
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

// Key identifies an upstream of a pool.
type Key struct {
	Pool     string
	Upstream string
}

// Resource returns the name of the upstream's allowance as a resource of pkg/quota.
func (k Key) Resource() string { return "cold/" + k.Pool + "/" + k.Upstream }

// Ramp describes how the limit of an upstream rises from cold to warm. It comes from the pool row.
type Ramp struct {
	// Allowance is the initial limit on concurrent requests.
	Allowance int
	// Answers is the number of good answers needed to reach the next level.
	Answers int
	// Slots is the limit at the highest level.
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

// Batch summarizes the answers of one upstream at one instance since its previous batch.
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
	// Lost is set if connections broke after the last good answer.
	Lost bool
}

// State is the allocator's state of an upstream.
type State struct {
	Warm       bool
	Limit      int
	StartID    string
	Generation uint64
	Cause      Cause
	Since      time.Time
}
