// Package probe monitors the health and load of upstreams: passively from their
// answers to requests, and by active probes only where such answers are missing.
//
// Answers carry the header Turmericsail-Load, a list such as
// "in_flight=3, slots=4, state=ok, start=k3x9". Stats classifies an upstream from a
// short sliding window of its answers; Ejector turns the conditions of a pool into
// advice for placement, so that an upstream that fails fast does not attract load by
// looking idle.
//
// Scheduler decides when to send active probes. Only the allocator of an upstream
// probes it, only if the newest information is older than Settings.MaxAge, and within
// the measuring budget of the pool row: a token bucket for each upstream, filled with
// a share of its slot time. A new connection for a probe is charged too. A new
// allocator starts with an empty bucket, so that a change of the role does not add to
// the budget.
package probe

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/coldstart"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Key identifies an upstream of a pool.
type Key = coldstart.Key

// Settings are the parameters of monitoring, probing and ejection.
type Settings struct {
	// MaxAge is the age of the newest information above which an upstream is probed.
	// With 5s an idle upstream gets one probe in 5s, against 16 per second if each of
	// 16 instances probed it once a second. Default 5s.
	MaxAge table.Duration `json:"max_age"`
	// ConnectCost is the slot time that a new connection takes. Default 1ms.
	ConnectCost table.Duration `json:"connect_cost"`
	// Timeout bounds a probe and the delivery of a report. Default 1s.
	Timeout table.Duration `json:"timeout"`
	// Interval is the time between scheduling decisions and between reports. Default 500ms.
	Interval table.Duration `json:"interval"`
	// Refresh is the interval at which an unchanged probe result is published again. Default 30s.
	Refresh table.Duration `json:"refresh"`
	// MaxLoads bounds the upstreams in the reports of one interval. Default 32.
	MaxLoads int `json:"max_loads"`
	// SlowFactor is the multiple of the usual latency above which an upstream counts as slow. Default 3.
	SlowFactor float64 `json:"slow_factor"`
	// FailingShare is the share of failed answers from which an upstream counts as failing. Default 0.5.
	FailingShare float64 `json:"failing_share"`
	// MinAnswers is the minimum number of answers in the window for an evaluation. Default 5.
	MinAnswers int `json:"min_answers"`
	// MaxEjectedPercent bounds the ejected share of a pool; unless it is 0, one upstream
	// can always be ejected from a pool of two or more. Default 30.
	MaxEjectedPercent int `json:"max_ejected_percent"`
	// EjectTime is the duration of the first ejection; it doubles with each consecutive one. Default 5s.
	EjectTime table.Duration `json:"eject_time"`
	// MaxEjectTime bounds the duration of an ejection. Default 60s.
	MaxEjectTime table.Duration `json:"max_eject_time"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MaxAge: table.Duration(5 * time.Second), ConnectCost: table.Duration(time.Millisecond),
		Timeout: table.Duration(time.Second), Interval: table.Duration(500 * time.Millisecond),
		Refresh: table.Duration(30 * time.Second), MaxLoads: 32,
		SlowFactor: 3, FailingShare: 0.5, MinAnswers: 5,
		MaxEjectedPercent: 30, EjectTime: table.Duration(5 * time.Second), MaxEjectTime: table.Duration(time.Minute),
	}
}

// Validate returns all problems of the settings; path is their location in the configuration.
func (s Settings) Validate(path string) table.Problems {
	var p table.Problems
	if s.MaxAge <= 0 || s.Timeout <= 0 || s.Interval <= 0 || s.Refresh <= 0 || s.EjectTime <= 0 || s.MaxEjectTime < s.EjectTime {
		p.Add(path, "a duration is not positive or max_eject_time is below eject_time", "give positive durations")
	}
	if s.ConnectCost < 0 {
		p.Add(path+".connect_cost", "is negative", "use zero or more")
	}
	if s.SlowFactor <= 1 {
		p.Add(path+".slow_factor", "is not above 1", "use a factor such as 3")
	}
	if s.FailingShare <= 0 || s.FailingShare > 1 {
		p.Add(path+".failing_share", "is not above 0 and at most 1", "use a share such as 0.5")
	}
	if s.MinAnswers < 1 || s.MaxLoads < 1 {
		p.Add(path, "min_answers or max_loads is less than 1", "use 1 or more")
	}
	if s.MaxEjectedPercent < 0 || s.MaxEjectedPercent > 100 {
		p.Add(path+".max_ejected_percent", "is not between 0 and 100", "give a percentage")
	}
	return p
}
