package follow

import (
	"strings"

	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// rolloutsPrefix is the prefix of the keys with the stage of the latest roll-out of each service.
const rolloutsPrefix = "turmericsail/rollouts/"

// RolloutKey returns the key of the record of a service.
func RolloutKey(service string) string { return rolloutsPrefix + service }

// Rollout is what the store has about the roll-outs of a service.
type Rollout struct {
	// Order is the operator's order, or nil.
	Order *rollout.Order
	// Record is the state of the latest roll-out, or nil.
	Record *rollout.Record
	// RecordRevision and StatusRevision are the revisions of the keys, or 0 for a missing one.
	RecordRevision, StatusRevision uint64
	// Status is what the operator was told, or nil.
	Status *rollout.Status
}

// rolloutRecord is the decoded value of a record's key. record is nil if the value cannot be read.
type rolloutRecord struct {
	service string
	record  *rollout.Record
}

func decodeRolloutRecord(e store.Entry) (*rolloutRecord, error) {
	r := &rolloutRecord{service: strings.TrimPrefix(e.Key, rolloutsPrefix)}
	var err error
	r.record, err = rollout.DecodeRecord(e.Value)
	return r, err
}

// rollouts returns the roll-outs by service, or nil if there are none.
func (s *followedState) rollouts() map[string]Rollout {
	var all map[string]Rollout
	update := func(service string, change func(*Rollout)) {
		if all == nil {
			all = map[string]Rollout{}
		}
		r := all[service]
		change(&r)
		all[service] = r
	}
	for _, r := range s.records {
		d, revision := r.decoded, r.position.Revision
		switch {
		case d.RolloutOrder != nil:
			update(d.RolloutOrder.Service, func(r *Rollout) { r.Order = d.RolloutOrder })
		case d.RolloutStatus != nil:
			update(d.RolloutStatus.Service, func(r *Rollout) { r.Status, r.StatusRevision = d.RolloutStatus, revision })
		case d.rolloutRecord != nil:
			update(d.rolloutRecord.service, func(r *Rollout) { r.Record, r.RecordRevision = d.rolloutRecord.record, revision })
		}
	}
	return all
}

func (f *Follower) publishRollouts(all map[string]Rollout) {
	if all == nil {
		f.rollouts.Store(nil)
		return
	}
	f.rollouts.Store(&all)
}

// Rollouts returns the roll-outs of all services that have or had one, or nil. The map is not to be changed.
func (f *Follower) Rollouts() map[string]Rollout {
	if all := f.rollouts.Load(); all != nil {
		return *all
	}
	return nil
}

// rolloutRecords returns the records, for the status of the instance.
func (f *Follower) rolloutRecords() map[string]rollout.Record {
	var records map[string]rollout.Record
	for service, r := range f.Rollouts() {
		if r.Record != nil {
			if records == nil {
				records = map[string]rollout.Record{}
			}
			records[service] = *r.Record
		}
	}
	return records
}
