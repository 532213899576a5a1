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

// Snapshot is the control state at one moment. It is never changed.
type Snapshot struct {
	// Tables is nil until the first revision is known.
	Tables *table.Tables
	// Members is the membership that this instance believes in.
	Members *membership.View
	// Limits are the operators' limits on what callers may send. Zero fields leave the instance's own in force.
	Limits settings.Limits
	// Refused lists the rows that are not in force because of their faults.
	Refused table.Problems
}

// Source gives the tables in force; *configsync.Syncer is one.
type Source interface {
	// Tables returns nil until some are known.
	Tables() *table.Tables
	// Problems returns the faults of rows that are not in force.
	Problems() table.Problems
	// Changed returns a channel that is closed when the tables change after this call.
	Changed() <-chan struct{}
}

// Members tells about the other instances; *membership.Tracker is one.
type Members interface {
	View() *membership.View
	Changed() <-chan struct{}
}

// Discovery reads the platform's list for pools with discover.
type Discovery interface {
	// Want names the services to read; it replaces earlier names.
	Want(services []string)
	// Updates gives the lists after each change.
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
	tables *table.Tables
	lists  discovery.Lists
	waived bool // the first snapshot no longer waits for the list
}

// New returns a loop. Without discovery (nil), pools have only the upstreams of their rows.
func New(source Source, members Members, found Discovery, log logr.Logger) *Loop {
	l := &Loop{source: source, members: members, log: log, discovery: found}
	l.current.Store(&Snapshot{Members: members.View()})
	return l
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.current.Load() }

// firstListLimit is how long the first snapshot waits for the platform's list:
// without it, an instance would report itself ready and refuse the requests of
// pools with discover. It is bounded so that other pools are served when the
// list cannot be read.
const firstListLimit = 5 * time.Second

// Run owns the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	var updates <-chan discovery.Lists
	if l.discovery != nil {
		updates = l.discovery.Updates()
	}
	var limit <-chan time.Time
	for {
		// The channels are taken before the state is read, so that no change is missed.
		tables, members := l.source.Changed(), l.members.Changed()
		if l.accept() && limit == nil {
			limit = time.After(firstListLimit)
		}
		l.publish()
		select {
		case <-tables:
		case <-members:
		case l.lists = <-updates:
		case <-limit:
			l.waived = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// accept takes over the tables of the source and reports whether there are any.
func (l *Loop) accept() bool {
	t := l.source.Tables()
	if t == nil || l.tables != nil && t.Revision <= l.tables.Revision {
		return t != nil
	}
	l.tables = t
	for _, p := range l.source.Problems() {
		l.log.Info("row not in force", "path", p.Path, "problem", p.Message, "remedy", p.Remedy)
	}
	if l.discovery != nil {
		l.discovery.Want(discovery.Services(t))
	}
	l.log.Info("tables in force", "revision", t.Revision, "routes", len(t.Routes), "pools", len(t.Pools))
	return true
}

func (l *Loop) publish() {
	next := &Snapshot{Members: l.members.View()}
	if l.tables != nil && (l.waived || l.listed()) {
		l.waived = true
		tables, problems := discovery.Apply(l.tables, l.lists)
		next.Tables, next.Refused = tables, append(problems, l.source.Problems()...)
	}
	l.current.Store(next)
}

// listed reports whether every service that the tables name has been read.
func (l *Loop) listed() bool {
	for _, service := range discovery.Services(l.tables) {
		if _, read := l.lists[service]; !read && l.discovery != nil {
			return false
		}
	}
	return true
}
