package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Readers are the instances that watch the store for all others. Each call to the
// store has a price and counts against its limits, so only a few instances in each
// region read it; the others ask them. Any instance may become a reader: it takes
// a free place of its region by writing a key under a lease. Nobody depends on a
// reader: who gets no fresh answer from one asks the store itself.

const (
	// readersPrefix is the prefix of the places, as readersPrefix + region + "/" + number.
	readersPrefix = "turmericsail/readers/"
	// readersPerRegion is the number of places in a region. While a region has no reader, its instances ask
	// those of other regions.
	readersPerRegion = 1
	// placeLife is the life of a place without renewal, above the pauses of a busy machine, and placeRenew
	// the time between renewals, which cost a tenth of a call.
	placeLife  = 5 * time.Second
	placeRenew = 1500 * time.Millisecond
	// claimSpread spreads the instances that see a free place, so that the first one is seen by the others.
	claimSpread = 1500 * time.Millisecond
	// claimHandicap delays instances with a slow link, so that others take the place.
	claimHandicap = 2 * time.Second
	// slowLink is the bandwidth in Mbit/s below which a link is slow for a reader: a configuration of
	// 100 kB, sent to 50 instances, takes 4 s at 10 Mbit/s and 0.4 s at 100 Mbit/s.
	slowLink = 50
)

// Reader is the holder of a place.
type Reader struct {
	ID      peer.InstanceID `json:"id"`
	Address string          `json:"address"`
	Region  string          `json:"-"`
}

// Self describes this instance as a reader.
type Self struct {
	Reader
	// LinkMbps is the bandwidth of the machine's link; zero means that it is not known.
	LinkMbps float64
}

func placeKey(region string, n int) string { return fmt.Sprintf("%s%s/%d", readersPrefix, region, n) }

// decodeReader decodes the value of a place.
func decodeReader(e store.Entry) (*Reader, error) {
	var r Reader
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return nil, err
	}
	if r.ID == "" || r.Address == "" {
		return nil, fault.New(fault.Invalid, "a reader has no ID or address", "wait until its lease lapses")
	}
	r.Region, _, _ = strings.Cut(strings.TrimPrefix(e.Key, readersPrefix), "/")
	return &r, nil
}

// place is a place that this instance may hold.
type place struct {
	key   string
	lease store.LeaseID
}

// holdPlace takes and keeps a place in the own region until ctx ends.
func (f *Follower) holdPlace(ctx context.Context) error {
	var held place
	for ctx.Err() == nil {
		if held.lease == "" {
			held = f.claim(ctx)
		} else if !f.keep(ctx, held) {
			held = place{}
		}
		pause.For(ctx, placeRenew)
	}
	if held.lease != "" {
		// The place goes to another instance at once; without an answer it lapses by itself.
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		err := f.holder.Release(ending, held.lease)
		f.log.Info("reader place released", "key", held.key, "done", err == nil)
	}
	return ctx.Err()
}

// claim tries to take a free place.
func (f *Follower) claim(ctx context.Context) place {
	if f.freePlace() < 0 {
		return place{}
	}
	delay := rand.N(claimSpread)
	if f.self.LinkMbps > 0 && f.self.LinkMbps < slowLink {
		delay += claimHandicap
	}
	pause.For(ctx, delay)
	n := f.freePlace()
	if n < 0 || ctx.Err() != nil {
		return place{}
	}
	key := placeKey(f.self.Region, n)
	value, err := json.Marshal(f.self.Reader)
	if err != nil {
		f.log.Error(err, "the reader's key cannot be encoded")
		return place{}
	}
	f.reading.Store(true) // others see the place before the answer is here
	lease, err := f.holder.Hold(ctx, key, value, placeLife)
	if err != nil {
		f.reading.Store(false)
		f.log.Info("reader place not taken", "key", key, "kind", string(fault.KindOf(err)))
		return place{}
	}
	f.log.Info("reader place taken", "key", key)
	return place{key, lease}
}

// keep renews a place and reports whether it is still held.
func (f *Follower) keep(ctx context.Context, p place) bool {
	err := f.holder.Renew(ctx, p.lease)
	if fault.Is(err, fault.NotFound) {
		f.reading.Store(false)
		f.log.Info("reader place lost", "key", p.key)
		return false
	}
	if err != nil {
		f.log.V(1).Info("reader place not renewed", "key", p.key, "error", err.Error())
		return true
	}
	f.shut.Store(false) // the store answers again; as the reader, this instance goes back to it
	return true
}

// freePlace returns the number of a free place in the own region, or -1. Without
// any knowledge of the store there is none.
func (f *Follower) freePlace() int {
	known := f.readers.Load()
	if known == nil {
		return -1
	}
	for n := range readersPerRegion {
		if _, taken := (*known)[placeKey(f.self.Region, n)]; !taken {
			return n
		}
	}
	return -1
}

// pickReader returns a reader to ask: of the own region if there is one, and none
// that failed a short time ago.
func (f *Follower) pickReader(now time.Time) (Reader, bool) {
	known := f.readers.Load()
	if known == nil || f.peers == nil {
		return Reader{}, false
	}
	var best Reader
	found := false
	for _, r := range *known {
		if r.ID == f.self.ID || now.Before(f.avoid[r.ID]) {
			continue
		}
		near, nearest := r.Region == f.self.Region, found && best.Region == f.self.Region
		// Instances spread over the readers of a region by hash, so that none carries all.
		if !found || near && !nearest || near == nearest && f.weight(r.ID) > f.weight(best.ID) {
			best, found = r, true
		}
	}
	if last := f.last.Load(); !found && f.alone && last != nil && !now.Before(f.avoid[last.ID]) {
		return *last, true // its place may have ended, but it may know who reads now
	}
	return best, found
}
