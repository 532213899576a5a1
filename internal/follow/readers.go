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

// Readers are the instances that watch the store for all others. Calls to the store are
// billed and count against its limits, so only a few instances in each region watch it;
// the others fetch changes from them. Any instance may become a reader by writing a free
// reader key of its region under a lease (a "reader place" in the log). No instance depends
// on a reader: one that gets no fresh answer calls the store itself.

const (
	// readersPrefix is the prefix of the reader keys, which are readersPrefix + region + "/" + number.
	readersPrefix = "turmericsail/readers/"
	// readersPerRegion is the number of readers in a region. While a region has none, its instances fetch
	// changes from readers of other regions.
	readersPerRegion = 1
	// readerLeaseTTL is the lifetime of a reader lease without renewal, longer than the pauses of a loaded
	// machine.
	readerLeaseTTL = 5 * time.Second
	// readerLeaseRenewal is the time between renewals, each of which costs a tenth of a call.
	readerLeaseRenewal = 1500 * time.Millisecond
	// failedRenewalPause is the time between renewals while the store does not answer them. The reader is then
	// back before the instances that follow it look for the store.
	failedRenewalPause = 400 * time.Millisecond
	// unknownReadersPause is the pause before an instance looks for a free key again while it has no state.
	unknownReadersPause = 100 * time.Millisecond
	// claimJitter spreads the claims of instances that see a free key, so that the others see the first
	// claim before they make their own.
	claimJitter = 1500 * time.Millisecond
	// slowLinkClaimDelay delays instances with a slow link, so that others claim the key.
	slowLinkClaimDelay = 2 * time.Second
	// slowLinkMbps is the bandwidth in Mbit/s below which a link is too slow for a reader: a configuration
	// of 100 kB, sent to 50 instances, takes 4 s at 10 Mbit/s and 0.4 s at 100 Mbit/s.
	slowLinkMbps = 50
)

// Reader is an instance that holds a reader lease.
type Reader struct {
	ID      peer.InstanceID `json:"id"`
	Address string          `json:"address"`
	Region  string          `json:"-"`
	// since is the position of the reader's key.
	since store.Position
}

// Self describes this instance as a reader.
type Self struct {
	Reader
	// LinkMbps is the bandwidth of the machine's link in Mbit/s; zero means that it is not known.
	LinkMbps float64
}

func readerKey(region string, n int) string { return fmt.Sprintf("%s%s/%d", readersPrefix, region, n) }

// decodeReader decodes the value of a reader key.
func decodeReader(e store.Entry) (*Reader, error) {
	var r Reader
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return nil, err
	}
	if r.ID == "" || r.Address == "" {
		return nil, fault.New(fault.Invalid, "a reader has no ID or address", "wait until its lease expires")
	}
	r.since = e.Position()
	r.Region, _, _ = strings.Cut(strings.TrimPrefix(e.Key, readersPrefix), "/")
	return &r, nil
}

// readerLease is a reader key with its lease; the zero value is no lease.
type readerLease struct {
	key   string
	lease store.LeaseID
	since time.Time
}

// maxGrantAge is the age of the data up to which a reader acts for its region. It is well below readerLeaseTTL, the
// time for which a new reader waits, so that two never act at once, even if the store took the key away
// and still renews the lease.
const maxGrantAge = 2 * time.Second

// MayGrant reports whether this instance alone acts for its region at the given time: it took the key long enough
// ago, and data of the store that is not older than maxGrantAge still names it.
func (f *Follower) MayGrant(now time.Time) bool {
	from := f.grantsFrom.Load()
	if from == nil || now.Before(*from) || now.Sub(f.replica.confirmedAt()) > maxGrantAge {
		return false
	}
	holder, ok := f.Granter(f.self.Region)
	return ok && holder == f.self.ID
}

// Granter returns the reader of a region, which is the instance that acts for it.
func (f *Follower) Granter(region string) (peer.InstanceID, bool) {
	known := f.readers.Load()
	if known == nil {
		return "", false
	}
	r, ok := (*known)[readerKey(region, 0)]
	return r.ID, ok
}

// maintainReaderLease acquires and renews a reader lease in the own region until ctx ends.
func (f *Follower) maintainReaderLease(ctx context.Context) error {
	var held readerLease
	for ctx.Err() == nil {
		next := readerLeaseRenewal
		if held.lease == "" {
			if f.readers.Load() == nil {
				next = unknownReadersPause
			}
			held = f.acquireReaderLease(ctx)
		} else if err := f.renewReaderLease(ctx, held); fault.Is(err, fault.NotFound) {
			// It expired while the store failed, or the store was restored; another instance may have taken it.
			held = f.createReaderLease(ctx, held.key, f.ownKeyRevision(held.key))
		} else if err != nil {
			next = failedRenewalPause
		} else if f.lostReaderKey(held, time.Now()) {
			f.isReader.Store(false)
			f.leaveReaderPlace(ctx, held)
			held, next = readerLease{}, unknownReadersPause
		} else {
			f.recordInstances(ctx, held.since)
		}
		pause.For(ctx, next)
	}
	if held.lease != "" {
		// Releasing the lease frees the key at once; if the call fails, the lease expires.
		f.leaveReaderPlace(context.WithoutCancel(ctx), held)
	}
	return ctx.Err()
}

// leaveReaderPlace releases a reader lease.
func (f *Follower) leaveReaderPlace(ctx context.Context, held readerLease) {
	f.grantsFrom.Store(nil)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := f.ephemeral.Release(ctx, held.lease)
	f.log.Info("reader place released", "key", held.key, "done", err == nil)
}

// lostReaderKey reports whether the store has a lease of this instance but no longer its key, as after it was restored.
func (f *Follower) lostReaderKey(held readerLease, now time.Time) bool {
	known := f.readers.Load()
	if known == nil || now.Sub(held.since) < readerLeaseTTL || now.Sub(f.replica.confirmedAt()) > maxGrantAge {
		return false
	}
	return (*known)[held.key].ID != f.self.ID
}

// ownKeyRevision returns the revision of a reader key that names this instance, or 0.
func (f *Follower) ownKeyRevision(key string) uint64 {
	if known := f.readers.Load(); known != nil {
		if r := (*known)[key]; r.ID == f.self.ID {
			return r.since.Revision
		}
	}
	return 0
}

// acquireReaderLease tries to claim a free reader key.
func (f *Follower) acquireReaderLease(ctx context.Context) readerLease {
	if key, revision := f.formerReaderKey(); key != "" {
		return f.createReaderLease(ctx, key, revision)
	}
	if f.freeReaderIndex() < 0 {
		return readerLease{}
	}
	delay := rand.N(claimJitter)
	if f.self.LinkMbps > 0 && f.self.LinkMbps < slowLinkMbps {
		delay += slowLinkClaimDelay
	}
	pause.For(ctx, delay)
	n := f.freeReaderIndex()
	if n < 0 || ctx.Err() != nil {
		return readerLease{}
	}
	return f.createReaderLease(ctx, readerKey(f.self.Region, n), 0)
}

// createReaderLease writes a reader key under a new lease if it still has the given revision; 0 means that it must
// not exist.
func (f *Follower) createReaderLease(ctx context.Context, key string, revision uint64) readerLease {
	value, err := json.Marshal(f.self.Reader)
	if err != nil {
		f.log.Error(err, "the reader's key cannot be encoded")
		return readerLease{}
	}
	f.isReader.Store(true) // other instances may see the key before this call returns
	lease, err := f.ephemeral.Create(ctx, key, value, revision, readerLeaseTTL)
	if err != nil {
		f.isReader.Store(false)
		f.log.Info("reader place not taken", "key", key, "kind", string(fault.KindOf(err)))
		return readerLease{}
	}
	f.storeDown.Store(false)
	from := time.Now().Add(readerLeaseTTL)
	f.grantsFrom.Store(&from)
	f.log.Info("reader place taken", "key", key)
	return readerLease{key, lease, time.Now()}
}

// renewReaderLease renews a lease. A NotFound fault means that it has expired.
func (f *Follower) renewReaderLease(ctx context.Context, held readerLease) error {
	err := f.ephemeral.Renew(ctx, held.lease)
	if fault.Is(err, fault.NotFound) {
		f.isReader.Store(false)
		f.grantsFrom.Store(nil)
		f.log.Info("reader place lost", "key", held.key)
		return err
	}
	if err != nil {
		f.log.V(1).Info("reader place not renewed", "key", held.key, "error", err.Error())
		return err
	}
	f.storeDown.Store(false) // the store answers again, so this instance resumes reading it
	return nil
}

// formerReaderKey returns the reader key that this instance held before it restarted, if its lease has not expired yet,
// or before the store lost its lease, with the key's revision. Nobody else can know yet that its holder has ended.
func (f *Follower) formerReaderKey() (key string, revision uint64) {
	known := f.readers.Load()
	if known == nil {
		return "", 0
	}
	name, _, _ := strings.Cut(string(f.self.ID), "/")
	for key, r := range *known {
		if holder, _, _ := strings.Cut(string(r.ID), "/"); holder == name && r.Region == f.self.Region {
			return key, r.since.Revision
		}
	}
	return "", 0
}

// freeReaderIndex returns the number of a free reader key in the own region, or -1 if none is free or
// the reader keys have not been received yet.
func (f *Follower) freeReaderIndex() int {
	known := f.readers.Load()
	if known == nil {
		return -1
	}
	for n := range readersPerRegion {
		if _, taken := (*known)[readerKey(f.self.Region, n)]; !taken {
			return n
		}
	}
	return -1
}

// selectReader returns the reader to ask: one of the own region if there is one, and none
// that failed within failedReaderCooldown.
func (f *Follower) selectReader(now time.Time) (Reader, bool) {
	known := f.readers.Load()
	if known == nil || f.peers == nil {
		return Reader{}, false
	}
	var best Reader
	found := false
	for _, r := range *known {
		if r.ID == f.self.ID || now.Before(f.avoidUntil[r.ID]) {
			continue
		}
		near, nearest := r.Region == f.self.Region, found && best.Region == f.self.Region
		// The readers of a region are chosen by rendezvous hash, which distributes the instances over them.
		if !found || near && !nearest || near == nearest && f.rendezvousWeight(r.ID) > f.rendezvousWeight(best.ID) {
			best, found = r, true
		}
	}
	if last := f.lastReader.Load(); !found && f.storeFailing && last != nil && !now.Before(f.avoidUntil[last.ID]) {
		return *last, true // its lease has ended, but it may still read the store or know the current readers
	}
	return best, found
}
