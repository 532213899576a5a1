package quota

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// lease is the state that an allocator keeps for one holder.
type lease struct {
	sequence  uint64
	reserved  int       // units that the holder may be using
	until     time.Time // end of the reservation
	want      int
	wantUntil time.Time
	inTurn    bool
	turnStart time.Time
	turnEnd   time.Time
}

// Allocator is the state machine that grants the units of one resource.
type Allocator struct {
	settings Settings
	limit    int
	epoch    uint64
	readyAt  time.Time
	holders  map[peer.InstanceID]*lease
}

// NewAllocator returns an allocator without holders.
func NewAllocator(s Settings, limit int) *Allocator {
	return &Allocator{settings: s, limit: max(0, limit), holders: make(map[peer.InstanceID]*lease)}
}

// SetLimit changes the limit over all instances. After a decrease, units above the
// new limit are not granted again.
func (a *Allocator) SetLimit(limit int) { a.limit = max(0, limit) }

// Limit returns the limit over all instances.
func (a *Allocator) Limit() int { return a.limit }

// ReadyAt returns the time after which new units are granted in the current epoch.
func (a *Allocator) ReadyAt() time.Time { return a.readyAt }

// Reserved returns the number of units that the known holders may be using.
func (a *Allocator) Reserved() int {
	n := 0
	for _, l := range a.holders {
		n += l.reserved
	}
	return n
}

// enterEpoch applies the current epoch of the authority. The leases stay valid over
// consecutive epochs, since no other instance was the allocator in between.
func (a *Allocator) enterEpoch(epoch uint64, loadedAt time.Time) {
	if epoch == a.epoch {
		return
	}
	if a.epoch == 0 || epoch != a.epoch+1 {
		clear(a.holders)
		a.readyAt = loadedAt.Add(a.settings.reserveTime())
	}
	a.epoch = epoch
}

// expire drops expired reservations and demand.
func (a *Allocator) expire(now time.Time) {
	for id, l := range a.holders {
		if !now.Before(l.wantUntil) {
			l.want, l.inTurn = 0, false
		}
		if !now.Before(l.until) {
			delete(a.holders, id)
		}
	}
}

// Handle processes one request of a holder.
func (a *Allocator) Handle(now time.Time, auth Authority, from peer.InstanceID, r Request) Reply {
	epoch, loadedAt, ok := auth.Held(now)
	if !ok {
		return Reply{Sequence: r.Sequence}
	}
	a.enterEpoch(epoch, loadedAt)
	a.expire(now)
	l := a.holders[from]
	if l == nil {
		l = &lease{}
		a.holders[from] = l
	}
	if r.Sequence <= l.sequence {
		return Reply{Sequence: r.Sequence, Epoch: epoch}
	}
	// Units that the lease does not cover were granted by an earlier allocator, or the
	// request was sent before they expired. Only the holder can distinguish the two.
	unknown := r.Held > l.reserved
	l.sequence, l.reserved = r.Sequence, r.Held
	l.want, l.wantUntil = r.Want, now.Add(a.settings.Lifetime/2)
	l.until = now.Add(a.settings.reserveTime())
	units, contended := a.units(now, from, l, unknown)
	// The holder can use its previous units until the reply arrives, or if the reply is lost.
	l.reserved = max(l.reserved, units)
	return Reply{
		Sequence: r.Sequence, Epoch: epoch, Granted: true, Units: units,
		KeepOnly: unknown || now.Before(a.readyAt), Contended: contended, Limit: a.limit,
	}
}

// units returns the number of units to grant and whether demand exceeds the limit.
func (a *Allocator) units(now time.Time, from peer.InstanceID, l *lease, unknown bool) (int, bool) {
	if unknown || now.Before(a.readyAt) {
		return min(l.reserved, l.want, a.limit), false
	}
	s := a.share(now, from)
	free := max(0, a.limit-a.Reserved())
	units := min(s.base+s.extra, l.reserved+free)
	l.updateTurn(now, units > s.base)
	return units, s.contended
}
