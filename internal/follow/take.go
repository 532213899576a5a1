package follow

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// latestAnswerTime returns the latest time at which the answer to a call was given that it may wait limit for. An instance that
// stood still reads an answer long after that, and must not take it for what the store says now.
func latestAnswerTime(requestedAt time.Time, limit time.Duration) time.Time {
	if latest := requestedAt.Add(limit); latest.Before(time.Now()) {
		return latest
	}
	return time.Now()
}

// changesState reports whether the update has anything for the state.
func (u *update) changesState() bool { return u.full || u.afterOutage || len(u.changes) > 0 }

// take passes an update to stateLoop, which owns the state, and then records it in the replica, whose position is the one
// from which this instance goes on. Nothing up to a recorded position is ever requested again, so no other function
// moves it, and it moves only once the state has the update. The wait ends with stateLoop alone: an answer
// that arrives when the time limit of its call has passed, as after a freeze, holds as much as any other.
func (f *Follower) take(u update) error {
	if u.restored {
		f.recordRestored(f.replica.at(), u.position)
	}
	if u.changesState() {
		select {
		case f.updates <- u:
		case <-f.stateEnded:
			f.log.Info("answer dropped", "source", u.source, "era", u.position.Era, "revision", u.position.Revision, "reason", "the instance ends")
			return fault.New(fault.Unavailable, "the instance ends and takes no more changes", "ask another instance")
		}
	}
	f.replica.record(u)
	return nil
}
