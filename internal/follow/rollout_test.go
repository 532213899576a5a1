package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Guards against a record that cannot be read and whose key can therefore never be replaced, and against a copy of the store
// that takes back a roll-out until the operator's keys are written again.
func TestRolloutRecords(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newFollowedState(textCodec{})
	is.Equal(s.rollouts(), nil)
	is.True(s.put(store.Entry{Key: RolloutKey("p"), Value: []byte("x"), Revision: 4}) != nil)
	is.Equal(s.rollouts()["p"], Rollout{RecordRevision: 4})
	record := rollout.Begin(rollout.Order{Service: "p", Target: "v2", Duration: time.Second, Revision: 3}, nil, now.Round(0).UTC())
	value, err := record.Encode()
	is.NoErr(err)
	is.NoErr(s.put(store.Entry{Key: RolloutKey("p"), Value: value, Revision: 5}))
	is.Equal(*s.rollouts()["p"].Record, record)
	s.restore(nil, now)
	is.Equal(len(s.rollouts()), 1)
	s.expire(now.Add(removalGrace))
	is.Equal(s.rollouts(), nil)
}

// Guards against a copy of the store that turns a verdict back into a running roll-out, or a stage into an earlier one, and
// against a record of another roll-out that is not believed.
func TestRestoredRolloutRecord(t *testing.T) {
	now := time.Now().Round(0).UTC()
	order := rollout.Order{Service: "p", Target: "v2", Duration: time.Second, Revision: 3}
	canary := rollout.Begin(order, nil, now)
	quarter := canary.Advanced(now.Add(time.Second))
	bad := quarter.Ended(rollout.RolledBack, "bad", now.Add(2*time.Second))
	good := quarter.Ended(rollout.Completed, "", now.Add(2*time.Second))
	again := rollout.Begin(order, nil, now.Add(time.Minute))
	earlier := rollout.Begin(rollout.Order{Service: "p", Target: "v1", Duration: time.Second, Revision: 2}, nil, now)
	for _, c := range []struct {
		name               string
		before, copy, want rollout.Record
	}{
		{"rolled back", bad, quarter, bad},
		{"rolled back, copy in a later stage", canary.Ended(rollout.RolledBack, "bad", now), quarter, canary.Ended(rollout.RolledBack, "bad", now)},
		{"completed", good, canary, good},
		{"later stage", quarter, canary, quarter},
		{"unknown later stage", canary, quarter, quarter},
		{"unknown verdict", quarter, bad, bad},
		{"order again", bad, again, again},
		{"other order", bad, earlier, earlier},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFollowedState(textCodec{})
			entry := func(r rollout.Record, revision uint64) store.Entry {
				value, err := r.Encode()
				is.NoErr(err)
				return store.Entry{Key: RolloutKey("p"), Value: value, Revision: revision}
			}
			is.NoErr(s.put(entry(c.before, 9)))
			is.Equal(len(s.restore([]store.Entry{entry(c.copy, 5)}, now)), 0)
			r := s.rollouts()["p"]
			is.Equal(*r.Record, c.want)
			is.Equal(r.RecordRevision, uint64(5)) // the next write names the revision of the copy
		})
	}
}
