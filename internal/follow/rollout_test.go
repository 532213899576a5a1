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
