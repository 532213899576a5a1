package follow

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// lateAnswers is a transport that can return answers only after the time limit of their call, as on a machine that stood
// still meanwhile.
type lateAnswers struct {
	peer.Transport
	late atomic.Bool
}

func (l *lateAnswers) Call(ctx context.Context, to peer.InstanceID, service string, request, response proto.Message) error {
	err := l.Transport.Call(ctx, to, service, request, response)
	if err == nil && l.late.Load() {
		passTimeLimit(ctx)
	}
	return err
}

// passTimeLimit returns after the time limit of a call.
func passTimeLimit(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		pause.For(context.WithoutCancel(ctx), time.Until(deadline)+time.Millisecond)
	}
}

// Guards against an instance that never learns a change: the pages of its first, stale list are of different ages, and the
// change lies between the time of an older page and the newest entry of a later one.
func TestStartFromPagesOfDifferentAgesMissesNoChange(t *testing.T) {
	for name, pages := range map[string][]stalePage{
		"older first page":  {{behind: 2}, {first: "u", behind: 0}},
		"older second page": {{behind: 0}, {first: "u2", behind: 3}, {first: "u3", behind: 0}},
	} {
		for _, size := range []int{0, 4} {
			t.Run(fmt.Sprintf("%s, %d other instances", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, size)
					fl.store.put("u2", "up p leaving")
					fl.store.put("config", "config xx")
					fl.store.put("u3", "up p ready")
					fl.store.set(func() { fl.store.stalePages = pages })
					fl.start(t, size, "late")
					time.Sleep(inTouchAfter)
					f := fl.followers[size]
					is.Equal(f.Snapshot().Tables.Revision, uint64(2))
					is.Equal(inService(f), []string{"u1", "u3"})
				})
			})
		}
	}
}

// Guards against an instance that never learns a change: the answer with the change arrives as the time limit of its call
// ends, and the position moves although the answer is dropped.
func TestAnswerAfterItsTimeLimitIsTaken(t *testing.T) {
	const upstreams = 16
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 4)
		for i, f := range fl.followers {
			fl.answers[i].late.Store(!f.isReader.Load())
		}
		for n := range upstreams {
			fl.store.put(fmt.Sprintf("v%02d", n), "up p ready")
			time.Sleep(time.Second)
		}
		for _, answers := range fl.answers {
			answers.late.Store(false)
		}
		time.Sleep(changeBound)
		for _, f := range fl.followers {
			is.Equal(len(inService(f)), 2+upstreams)
		}
	})
}

// Guards against two instances that act for a region: one of them stood still, takes the answer that it had received before
// for a new one, and cannot reach the store.
func TestAnswerReadAfterAFreezeIsNotDatedThen(t *testing.T) {
	const freeze = 14 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleetIn(t, 4, "north")
		time.Sleep(readerLeaseTTL)
		r := fl.reader(t)
		is.True(fl.followers[r].MayGrant(time.Now()))
		until := time.Now().Add(freeze)
		fl.connections[r].frozen.Store(&until)
		fl.store.put("u3", "up p ready") // ends the pending watch
		fl.net.Pause(fl.ids[r])
		time.Sleep(freeze - time.Millisecond)
		fl.connections[r].refused.Store(true)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			n := 0
			for _, f := range fl.followers {
				if f.MayGrant(time.Now()) {
					n++
				}
			}
			is.Equal(n, 1)
		}
	})
}

// Guards against an answer whose entries are cut off at the size limit although its position stands.
func TestTruncatedRowsAreRefused(t *testing.T) {
	is := is.New(t)
	row := &peerpb.ConfigRow{Key: "k", Value: make([]byte, 1<<20)}
	size := proto.Size(&peerpb.ChangesReply{Rows: []*peerpb.ConfigRow{row}})
	reply := &peerpb.ChangesReply{}
	for range maxDecompressed/size + 1 {
		reply.Rows = append(reply.Rows, row)
	}
	pad := maxDecompressed - maxDecompressed/size*size // the limit falls between two rows
	reply.Rows[0] = &peerpb.ConfigRow{Key: "k", Value: make([]byte, len(row.Value)+pad)}
	packed, err := compressRows(reply)
	is.NoErr(err)
	err = decompressRows(packed)
	is.True(fault.Is(err, fault.Unavailable))
}

// Guards against an instance whose memory grows with the number of versions of a large value, of which others need the latest
// only, and against one that no longer passes on that an upstream leaves.
func TestReplicaKeepsTheLatestLargeVersionOnly(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.reset([]store.Entry{{Key: "a", Revision: 5}}, store.Position{Revision: 5}, time.Now())
	const versions, size = 300, 1 << 20
	for n := range versions {
		revision := uint64(6 + 2*n)
		r.apply([]store.Change{
			{Entry: store.Entry{Key: "config", Value: make([]byte, size), Revision: revision}},
			{Entry: store.Entry{Key: fmt.Sprint("u", n%3), Revision: revision + 1}, Deleted: n%2 == 0},
		}, store.Position{Revision: revision + 1}, time.Now())
	}
	last := uint64(5 + 2*versions)
	for after, want := range map[uint64][]uint64{last - 5: {last - 4, last - 2, last - 1, last}, last - 1: {last}, last: nil} {
		changes, position, _, gone := r.changesAfter(t.Context(), store.Position{Revision: after}, 0)
		is.True(!gone)
		is.Equal(position.Revision, last)
		var revisions []uint64
		for _, c := range changes {
			revisions = append(revisions, c.Revision)
		}
		is.Equal(revisions, want)
	}
	is.Equal(len(r.changes), versions+1) // all small ones, and one large one
	kept := 0
	for _, c := range r.changes {
		kept += len(c.Value)
	}
	is.Equal(kept, size)
}
