// Package control owns the control state of an instance. One goroutine changes
// it and publishes immutable snapshots; traffic goroutines read the latest
// snapshot without a lock.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/discovery"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Snapshot is the control state at one moment. It is immutable.
type Snapshot struct {
	// Tables is nil until the first revision is known.
	Tables *table.Tables
	// Members is the membership as this instance sees it.
	Members *membership.View
	// Limits are the operators' limits on what callers may send. Zero fields leave the instance's own in force.
	Limits settings.Limits
	// Refused lists the rows that are not in force because of their errors.
	Refused table.Problems
	// HomeConflicts lists the pairs of route and workspace without a common home region, whose requests are refused.
	HomeConflicts table.Problems `json:",omitempty"`
}

// Source provides the tables in force; *configsync.Syncer implements it.
type Source interface {
	// Tables returns nil until the first tables are known.
	Tables() *table.Tables
	// Problems returns the errors of rows that are not in force.
	Problems() table.Problems
	// Changed returns a channel that is closed when the tables change after this call.
	Changed() <-chan struct{}
}

// Members provides the membership of the deployment; *membership.Tracker implements it.
type Members interface {
	View() *membership.View
	Changed() <-chan struct{}
}

// Discovery reads the platform's instance list for pools that set discover.
type Discovery interface {
	// SetServices replaces the names of the services to read.
	SetServices(services []string)
	// Updates returns a channel that receives the lists after each change.
	Updates() <-chan discovery.Lists
}

// Loop owns the control state.
type Loop struct {
	source    Source
	members   Members
	log       logr.Logger
	discovery Discovery
	current   atomic.Pointer[Snapshot]

	// Owned by Run.
	tables       *table.Tables
	lists        discovery.Lists
	listWaitOver bool // the first snapshot no longer waits for the list
}

// New returns a loop. Without discovery (nil), pools have only the upstreams of their rows.
func New(source Source, members Members, instances Discovery, log logr.Logger) *Loop {
	l := &Loop{source: source, members: members, log: log, discovery: instances}
	l.current.Store(&Snapshot{Members: members.View()})
	return l
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.current.Load() }

// firstListTimeout is how long the first snapshot waits for the platform's list:
// without the list, an instance would report itself ready and refuse the requests
// of pools that set discover. It is bounded so that other pools are served when the
// list cannot be read.
const firstListTimeout = 5 * time.Second

// Run owns the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	var updates <-chan discovery.Lists
	if l.discovery != nil {
		updates = l.discovery.Updates()
	}
	var timeout <-chan time.Time
	for {
		// The channels are fetched before the state is read, so that no change is missed.
		tables, members := l.source.Changed(), l.members.Changed()
		if l.loadTables() && timeout == nil {
			timeout = time.After(firstListTimeout)
		}
		l.publish()
		select {
		case <-tables:
		case <-members:
		case l.lists = <-updates:
		case <-timeout:
			l.listWaitOver = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// loadTables takes newer tables from the source and reports whether there are any tables.
func (l *Loop) loadTables() bool {
	t := l.source.Tables()
	if t == nil || l.tables != nil && t.Revision <= l.tables.Revision {
		return t != nil
	}
	l.tables = t
	for _, p := range l.source.Problems() {
		l.log.Info("row not in force", "path", p.Path, "problem", p.Message, "remedy", p.Remedy)
	}
	if l.discovery != nil {
		l.discovery.SetServices(discovery.Services(t))
	}
	l.log.Info("tables in force", "revision", t.Revision, "routes", len(t.Routes), "pools", len(t.Pools))
	return true
}

func (l *Loop) publish() {
	next := &Snapshot{Members: l.members.View()}
	if l.tables != nil && (l.listWaitOver || l.allServicesListed()) {
		l.listWaitOver = true
		tables, problems := discovery.Apply(l.tables, l.lists)
		next.Tables, next.Refused = tables, append(problems, l.source.Problems()...)
	}
	l.current.Store(next)
}

// allServicesListed reports whether every service that the tables name has been read.
func (l *Loop) allServicesListed() bool {
	for _, service := range discovery.Services(l.tables) {
		if _, read := l.lists[service]; !read && l.discovery != nil {
			return false
		}
	}
	return true
}
