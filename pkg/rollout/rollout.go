// Package rollout moves the traffic of a pool to upstreams of a new version, or keeps it away from them.
//
// Split determines which upstreams a request may use, Judge whether the roll-out advances, completes or is rolled back.
// Both run without a network and take the time as an argument, so that every failure can be played in a test.
package rollout

import (
	"encoding/json"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Order is the operator's order to move the traffic of a service to a version.
type Order struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `json:"duration"`
	// Revision is that of the order's key in the store, which identifies the order: the same version may be ordered again.
	Revision uint64 `json:"revision"`
}

// State is the state of a roll-out.
type State string

// States of a roll-out. The last two are verdicts.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Status is what the operator is told of a roll-out.
type Status struct {
	Service string `json:"service"`
	State   State  `json:"state"`
	Target  string `json:"target"`
}

// Stage is the part of the traffic that goes to the target version.
type Stage string

// Stages in their order.
const (
	// Canary sends a share well below the exposure bound to a few upstreams, which thus have the load of old ones.
	Canary  Stage = "canary"
	Quarter Stage = "quarter"
	Half    Stage = "half"
	// All sends everything to the target version.
	All Stage = "all"
)

// zeroTime is used where only the versions of a record matter.
var zeroTime time.Time

// canaryShare is the share of the requests that the target version gets in the canary stage. A bad version may get a
// tenth of all requests until the deadline, which the later stages need in part.
const canaryShare = 0.06

// Share returns the share of the requests that goes to the target version.
func (s Stage) Share() float64 {
	switch s {
	case Canary:
		return canaryShare
	case Quarter:
		return 0.25
	case Half:
		return 0.5
	case All:
		return 1
	}
	return 0
}

// next returns the stage after s.
func (s Stage) next() Stage {
	switch s {
	case Canary:
		return Quarter
	case Quarter:
		return Half
	}
	return All
}

// Record is the stored state of the latest roll-out of a service.
type Record struct {
	// Order is the revision of the order.
	Order    uint64        `json:"order"`
	Target   string        `json:"target"`
	Duration time.Duration `json:"duration"`
	// Started is when the judge began the roll-out.
	Started time.Time `json:"started"`
	State   State     `json:"state"`
	Stage   Stage     `json:"stage"`
	// Since is when the stage began.
	Since time.Time `json:"since"`
	// Refused lists the versions that were rolled back or superseded, which get nothing until they are ordered again.
	Refused []string `json:"refused,omitempty"`
	// Current is the version that was completed last, or empty.
	Current string `json:"current,omitempty"`
	// Reason is why the version was rolled back.
	Reason string `json:"reason,omitempty"`
}

// Deadline returns the time at which the verdict is due.
func (r *Record) Deadline() time.Time { return r.Started.Add(r.Duration) }

// Follows reports whether the record is a later state of the same roll-out: it has a verdict, or a later stage. A store that was
// restored from a copy may use the revision of an order again, so the start has to be the same, too.
func (r *Record) Follows(o *Record) bool {
	if r == nil || r.Order != o.Order || r.Target != o.Target || !r.Started.Equal(o.Started) || o.State != Running {
		return false
	}
	return r.State != Running || r.Stage.Share() > o.Stage.Share()
}

// Encode returns the stored form of the record.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "the record of a roll-out cannot be encoded", "report this as a defect")
	}
	return value, nil
}

// DecodeRecord decodes the stored form of a record.
func DecodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the record of a roll-out cannot be decoded", "remove the key; the order then starts again")
	}
	known := r.Stage.Share() > 0 && (r.State == Running || r.State == Completed || r.State == RolledBack)
	if !known || r.Target == "" {
		return nil, fault.New(fault.Invalid, "the record of a roll-out names no known stage, state or target", "remove the key; the order then starts again")
	}
	return &r, nil
}

// maxRefused bounds the versions that a record refuses. The oldest ones are dropped; their upstreams are gone by then.
const maxRefused = 16

// Begin returns the record with which an order starts. old is the record of the roll-out before it, or nil. The target of
// a roll-out that the order supersedes has no verdict, so it gets nothing more, like one that was rolled back.
func Begin(o Order, old *Record, now time.Time) Record {
	r := Record{
		Order: o.Revision, Target: o.Target, Duration: o.Duration, Started: now, State: Running, Stage: Canary, Since: now,
	}
	if old == nil {
		return r
	}
	r.Current = old.Current
	refused := old.Refused
	if old.State != Completed {
		refused = append(append([]string(nil), refused...), old.Target)
	}
	for _, version := range refused {
		if version != o.Target {
			r.Refused = append(r.Refused, version)
		}
	}
	r.Refused = r.Refused[max(len(r.Refused)-maxRefused, 0):]
	return r
}

// Advanced returns the record in the next stage.
func (r Record) Advanced(now time.Time) Record {
	r.Stage, r.Since = r.Stage.next(), now
	return r
}

// Ended returns the record with a verdict.
func (r Record) Ended(state State, reason string, now time.Time) Record {
	r.State, r.Since, r.Reason = state, now, reason
	if state == Completed {
		r.Current = r.Target
	}
	return r
}
