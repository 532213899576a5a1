package view

import (
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Core is the protocol state machine of one instance in the view of its own region. It
// is deterministic and not safe for concurrent use.
type Core struct {
	self    peer.InstanceID
	lease   time.Duration
	records RecordStore

	view View
	// sealed is the highest sealed epoch; sealing is the highest epoch whose seal was requested.
	sealed, sealing uint64
	// confirmedUntil is when the last authority that this instance confirmed expires on its own clock.
	confirmedUntil time.Time
	// open is the epoch in which this instance is a loaded member and grants, or 0.
	open     uint64
	openedAt time.Time
	load     *loadProgress
}

// NewCore returns the core of an instance that is not yet in any view.
func NewCore(self peer.InstanceID, lease time.Duration, records RecordStore) *Core {
	return &Core{self: self, lease: lease, records: records}
}

// Adopt replaces the known view of this instance's region with v if v is newer. It reports whether it did.
func (c *Core) Adopt(now time.Time, v View) bool {
	if !v.Newer(c.view) {
		return false
	}
	c.view = v
	if !v.Has(c.self) || v.Epoch <= c.sealing || v.Epoch <= c.open {
		c.load = nil
		return true
	}
	if slices.Contains(v.Loaded, c.self) && len(v.Predecessors) == 0 && v.Epoch == 1 {
		// The first view of a region has no earlier records to load.
		c.openEpoch(now)
		return true
	}
	if c.load == nil || c.load.epoch != v.Epoch {
		c.load = newLoadProgress(v.Epoch, c.load)
	}
	return true
}

// Seal seals every epoch up to the given one, or returns how long a confirmed authority
// still prevents it. From the first request on, no authority is confirmed in these
// epochs, so that renewals cannot delay the seal indefinitely.
func (c *Core) Seal(now time.Time, epoch uint64) (sealed bool, wait time.Duration) {
	if epoch <= c.sealed {
		return true, 0
	}
	c.sealing = max(c.sealing, epoch)
	if c.load != nil && c.load.epoch <= epoch {
		c.load = nil
	}
	if wait := c.confirmedUntil.Sub(now); wait > 0 {
		return false, wait
	}
	c.records.Seal(epoch)
	c.sealed = epoch
	if c.open <= epoch {
		c.open = 0
	}
	return true, 0
}

// Confirm confirms a member's authority in epoch for one lease, if this instance is open in epoch and no seal of it was requested.
func (c *Core) Confirm(now time.Time, epoch uint64) bool {
	if c.open == 0 || c.open != epoch || c.sealing >= epoch {
		return false
	}
	if until := now.Add(plusDrift(c.lease)); until.After(c.confirmedUntil) {
		c.confirmedUntil = until
	}
	return true
}

// MayCopy reports whether a later member of the same epoch may copy this member's records.
func (c *Core) MayCopy(epoch uint64) bool { return c.open != 0 && c.open == epoch }

// Targets returns the members from which records must still be loaded.
func (c *Core) Targets() []Target {
	if c.load == nil {
		return nil
	}
	return c.load.targets(c.view, c.self)
}

// MarkLoaded records that all records of a target have been imported.
func (c *Core) MarkLoaded(epoch uint64, t Target) {
	if c.load != nil && c.load.epoch == epoch {
		c.load.markLoaded(t)
	}
}

// TryOpen opens the epoch that is being loaded if all required records are imported and earlier epochs can be sealed.
func (c *Core) TryOpen(now time.Time) bool {
	if c.load == nil || !c.load.complete(c.view) {
		return false
	}
	if sealed, _ := c.Seal(now, c.load.epoch-1); !sealed {
		return false
	}
	c.openEpoch(now)
	return true
}

func (c *Core) openEpoch(now time.Time) {
	c.load, c.open, c.openedAt = nil, c.view.Epoch, now
	c.sealed = max(c.sealed, c.open-1)
	c.records.Open(c.open)
}

// View returns the latest adopted view.
func (c *Core) View() View { return c.view }

// OpenEpoch returns the epoch in which this instance is a loaded member, or 0.
func (c *Core) OpenEpoch() uint64 { return c.open }
