package follow

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/internal/discovery"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/pkg/workspace"
)

// Config is a version of the operator's configuration.
type Config struct {
	// Version rises with each accepted configuration, in uneven steps.
	Version uint64
	Routes  []table.Route
	Pools   []table.Pool
	// Workspaces is empty in deployments without API keys.
	Workspaces []table.Workspace
	// Limits bounds what callers may send; zero fields are not limited by the operator.
	Limits settings.Limits
}

// Validate returns the faults for which a configuration does not come into force.
func (c *Config) Validate() table.Problems {
	p := table.NewTables(c.Version, c.Routes, c.Pools).CheckReferences()
	return append(p, workspace.Validate("$.workspaces", c.Workspaces)...)
}

// DecodedEntry is the decoded value of one key of the store. One field is set, or none for a key
// that is not used here.
type DecodedEntry struct {
	Config *Config
	// EvacuatedFailureDomain is a failure domain whose upstreams get no new requests.
	EvacuatedFailureDomain string
	Upstream               *store.ListedInstance
	// RolloutOrder is an order to move a service to a version; its revision is that of the entry.
	RolloutOrder *rollout.Order
	// RolloutStatus is what the operator was told of a roll-out. Its state is empty if it cannot be read.
	RolloutStatus *rollout.Status
	rolloutRecord *rolloutRecord
	reader        *Reader
	fleetSize     *fleetSize
	shared        *sharedValue
}

// Codec decodes the keys that the operator and the upstreams write.
type Codec interface {
	// Decode decodes one entry. For a key that is not used here it returns an empty DecodedEntry.
	Decode(e store.Entry) (DecodedEntry, error)
}

// removalGrace is how long after the store's return the removal of an upstream's
// entry is delayed. Leases expire while the store is down, and running upstreams
// register again within about two seconds of its return.
const removalGrace = 2200 * time.Millisecond

// followedState holds the decoded entries of the followed keys. It is owned by one goroutine.
type followedState struct {
	codec             Codec
	records           map[string]record
	config            *Config
	removalsHeldUntil time.Time // removals of upstreams before this time are delayed until it
	restoredUntil     time.Time // removals of anything before this time are delayed until it
	fromCopy          bool      // the entries that are put are those of a copy
	gone              map[string]goneUpstream
}

// goneUpstream is an upstream whose entry was removed.
type goneUpstream struct {
	startMillis int64
	at          time.Time
}

const (
	// goneMemory is how long a removed upstream is remembered. Copies from which a store is restored are not older.
	goneMemory = time.Minute
	// maxGone bounds the removed upstreams that are remembered.
	maxGone = 4096
)

type record struct {
	decoded  DecodedEntry
	position store.Position
	removeAt time.Time // set while a removal is delayed
}

func newFollowedState(codec Codec) *followedState {
	return &followedState{codec: codec, records: map[string]record{}, gone: map[string]goneUpstream{}}
}

// outageEnded records that the store answers again after an outage.
func (s *followedState) outageEnded(now time.Time) { s.removalsHeldUntil = now.Add(removalGrace) }

// restore replaces all entries by those of a store that has gone back to a copy. What the operator and the upstreams have
// written since is written again within removalGrace, so what the copy lacks stays for so long, and what it
// takes back is not believed: an upstream that left does not return, and an older process does not replace a newer one.
func (s *followedState) restore(entries []store.Entry, now time.Time) []decodeFailure {
	s.outageEnded(now)
	s.restoredUntil = now.Add(removalGrace)
	s.fromCopy = true
	defer func() { s.fromCopy = false }()
	return s.reset(entries, now)
}

// keepNewer replaces what a copy says by what is known to be newer.
func (s *followedState) keepNewer(key string, decoded DecodedEntry) DecodedEntry {
	old := s.records[key].decoded
	if size := decoded.fleetSize; size != nil && old.fleetSize != nil && old.fleetSize.instances > size.instances {
		return old
	}
	if r := decoded.rolloutRecord; r != nil && r.record != nil && old.rolloutRecord != nil && old.rolloutRecord.record.Follows(r.record) {
		return old
	}
	u := decoded.Upstream
	if u == nil {
		return decoded
	}
	gone, wasRemoved := s.gone[key]
	switch {
	case old.Upstream != nil && old.Upstream.StartMillis > u.StartMillis:
		return old
	case old.Upstream != nil && old.Upstream.StartMillis == u.StartMillis && old.Upstream.Leaving,
		wasRemoved && gone.startMillis == u.StartMillis:
		leaving := *u
		leaving.Leaving = true
		decoded.Upstream = &leaving
	}
	return decoded
}

// reset replaces all entries and returns those that could not be decoded.
func (s *followedState) reset(entries []store.Entry, now time.Time) []decodeFailure {
	var failures []decodeFailure
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if err := s.put(e); err != nil {
			failures = append(failures, decodeFailure{e, err})
		}
	}
	for key := range s.records {
		if !listed[key] {
			s.remove(key, now)
		}
	}
	return failures
}

// decodeFailure is an entry whose value could not be decoded.
type decodeFailure struct {
	entry store.Entry
	err   error
}

// apply applies one change.
func (s *followedState) apply(c store.Change, now time.Time) error {
	if old, ok := s.records[c.Key]; ok && !c.Position().After(old.position) {
		return nil // duplicate: a page was read after the position reported for its list
	}
	if c.Deleted {
		s.remove(c.Key, now)
		return nil
	}
	return s.put(c.Entry)
}

// put stores an entry. One that cannot be decoded names no upstream; a configuration that cannot be
// decoded, whose routes refer to missing pools or whose workspaces are ambiguous leaves the last valid one in force.
func (s *followedState) put(e store.Entry) error {
	var decoded DecodedEntry
	var err error
	if strings.HasPrefix(e.Key, readersPrefix) {
		decoded.reader, err = decodeReader(e)
	} else if strings.HasPrefix(e.Key, fleetPrefix) {
		decoded.fleetSize, err = decodeFleetSize(e)
	} else if strings.HasPrefix(e.Key, sharedPrefix) {
		decoded.shared, err = decodeShared(e)
	} else if strings.HasPrefix(e.Key, rolloutsPrefix) {
		decoded.rolloutRecord, err = decodeRolloutRecord(e)
	} else {
		decoded, err = s.codec.Decode(e)
	}
	if err == nil && decoded.Config != nil {
		err = decoded.Config.Validate().Err()
	}
	if err != nil {
		decoded = DecodedEntry{rolloutRecord: decoded.rolloutRecord}
	}
	if s.fromCopy {
		decoded = s.keepNewer(e.Key, decoded)
	}
	if decoded.Config != nil && (s.config == nil || decoded.Config.Version > s.config.Version) {
		s.config = decoded.Config
	}
	s.records[e.Key] = record{decoded: decoded, position: e.Position()}
	return err
}

// heldUntil returns until when the removal of an entry is not believed, or a time in the past.
func (s *followedState) heldUntil(d DecodedEntry) time.Time {
	switch {
	case d.Upstream != nil && !d.Upstream.Leaving:
		return s.removalsHeldUntil
	case d.EvacuatedFailureDomain != "", d.fleetSize != nil, d.RolloutOrder != nil, d.rolloutRecord != nil:
		return s.restoredUntil
	}
	return time.Time{}
}

// delete deletes a record and remembers the upstream that it named.
func (s *followedState) delete(key string, now time.Time) {
	if u := s.records[key].decoded.Upstream; u != nil {
		maps.DeleteFunc(s.gone, func(_ string, g goneUpstream) bool { return now.Sub(g.at) > goneMemory })
		if len(s.gone) < maxGone {
			s.gone[key] = goneUpstream{u.StartMillis, now}
		}
	}
	delete(s.records, key)
}

func (s *followedState) remove(key string, now time.Time) {
	r, ok := s.records[key]
	if !ok {
		return
	}
	if until := s.heldUntil(r.decoded); now.Before(until) {
		r.removeAt = until
		s.records[key] = r
		return
	}
	s.delete(key, now)
}

// expire carries out the delayed removals that are due. It returns the time of the
// next one, or zero.
func (s *followedState) expire(now time.Time) (next time.Time) {
	for key, r := range s.records {
		switch {
		case r.removeAt.IsZero():
		case !now.Before(r.removeAt):
			s.delete(key, now)
		case next.IsZero() || r.removeAt.Before(next):
			next = r.removeAt
		}
	}
	return next
}

// readers returns the registered readers by key.
func (s *followedState) readers() map[string]Reader {
	readers := map[string]Reader{}
	for key, r := range s.records {
		if r.decoded.reader != nil {
			readers[key] = *r.decoded.reader
		}
	}
	return readers
}

// fleetSizes returns the recorded numbers of instances by region.
func (s *followedState) fleetSizes() map[string]int {
	sizes := map[string]int{}
	for _, r := range s.records {
		if size := r.decoded.fleetSize; size != nil {
			sizes[size.region] = size.instances
		}
	}
	return sizes
}

// tables builds the tables in force, or nil without a configuration.
func (s *followedState) tables() (*table.Tables, table.Problems) {
	if s.config == nil {
		return nil, nil
	}
	lists := discovery.Lists{}
	slots := map[string]int{}
	var evacuated []string
	for _, r := range s.records {
		if r.decoded.EvacuatedFailureDomain != "" {
			evacuated = append(evacuated, r.decoded.EvacuatedFailureDomain)
		}
		if u := r.decoded.Upstream; u != nil {
			lists[u.Service] = append(lists[u.Service], *u)
			slots[u.Service] = max(slots[u.Service], u.Slots)
		}
	}
	slices.Sort(evacuated)
	for _, list := range lists {
		slices.SortFunc(list, func(a, b store.ListedInstance) int { return strings.Compare(a.ID, b.ID) })
	}
	pools := slices.Clone(s.config.Pools)
	for i := range pools {
		pools[i].FailureDomainsOut = evacuated
		pools[i].Slots = max(slots[pools[i].Discover], 1)
	}
	tables := table.NewTables(s.config.Version, s.config.Routes, pools).WithWorkspaces(s.config.Workspaces)
	return discovery.Apply(tables, lists)
}
