package probe

import (
	"slices"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Target is an upstream with the probing parameters of its pool row.
type Target struct {
	Key     Key
	Address string
	Path    string
	Slots   int
	// Percent is the share of the slot time that probes of all instances may use.
	Percent float64
	// Cost is the slot time that one probe takes.
	Cost time.Duration
}

// TargetsOf returns the targets of a pool; none if its row sets no probe path, which disables probing.
func TargetsOf(p table.Pool) []Target {
	if p.Measuring.ProbePath == "" {
		return nil
	}
	targets := make([]Target, 0, len(p.Upstreams))
	for _, u := range p.Upstreams {
		targets = append(targets, Target{
			Key: Key{Pool: p.Name, Upstream: u.ID}, Address: u.Address, Path: p.Measuring.ProbePath,
			Slots: p.Slots, Percent: p.Measuring.BudgetPercent, Cost: p.Measuring.ProbeCost.Std(),
		})
	}
	return targets
}

// bucketCapacity is the capacity of a token bucket in probes. Two allow a retry after
// a lost answer, and keep the probes close to the budget over any few seconds.
const bucketCapacity = 2

// budget is the token bucket of one upstream, in slot time.
type budget struct {
	available time.Duration
	at        time.Time
	pending   bool
}

// Scheduler decides which upstreams are probed. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	budgets  map[Key]*budget
}

// NewScheduler returns a scheduler with empty budgets.
func NewScheduler(s Settings) *Scheduler {
	return &Scheduler{settings: s, budgets: make(map[Key]*budget)}
}

// Due returns the targets to probe now. hasAuthority reports whether this instance has
// the allocator's authority for an upstream, lastUpdate the time of the newest
// information about it. The full price, including a new connection, is charged in
// advance; ProbeDone refunds the connection if none was needed. The budget of an
// upstream is dropped when the authority for it is lost.
func (s *Scheduler) Due(now time.Time, targets []Target, hasAuthority func(Key) bool, lastUpdate func(Key) time.Time) []Target {
	current := make(map[Key]bool, len(targets))
	var due []Target
	for _, t := range targets {
		if !hasAuthority(t.Key) {
			continue
		}
		current[t.Key] = true
		b := s.refill(now, t)
		price := t.Cost + s.settings.ConnectCost.Std()
		if b.pending || now.Sub(lastUpdate(t.Key)) < s.settings.MaxAge.Std() || b.available < price {
			continue
		}
		b.available -= price
		b.pending = true
		due = append(due, t)
	}
	for key := range s.budgets {
		if !current[key] {
			delete(s.budgets, key)
		}
	}
	slices.SortFunc(due, func(a, b Target) int { return strings.Compare(a.Key.Resource(), b.Key.Resource()) })
	return due
}

func (s *Scheduler) refill(now time.Time, t Target) *budget {
	b := s.budgets[t.Key]
	if b == nil {
		b = &budget{at: now}
		s.budgets[t.Key] = b
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.available += time.Duration(float64(passed) * float64(t.Slots) * t.Percent / 100)
		b.at = now
	}
	b.available = min(b.available, bucketCapacity*(t.Cost+s.settings.ConnectCost.Std()))
	return b
}

// ProbeDone records the end of a probe and refunds the connection cost if it reused one.
func (s *Scheduler) ProbeDone(key Key, reused bool) {
	b := s.budgets[key]
	if b == nil || !b.pending {
		return
	}
	b.pending = false
	if reused {
		b.available += s.settings.ConnectCost.Std()
	}
}
