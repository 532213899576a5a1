package follow

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Service is the name under which instances ask each other for changes.
const Service = "follow.changes"

const (
	// relayWait is how long a reader may hold a call, and relayMargin how much later its answer may come: a
	// round trip between regions takes 24 ms, the rest is for a busy or small machine. Together they bound
	// how late a dead reader is noticed.
	relayWait   = 500 * time.Millisecond
	relayMargin = 300 * time.Millisecond
	// packFrom is the size of an answer from which it is compressed. A configuration with hundreds of
	// routes takes a tenth of its size, which matters on links of 10 Mbit/s.
	packFrom = 2 << 10
	// maxUnpacked bounds a compressed answer: the store keeps values of up to 1 MB.
	maxUnpacked = 64 << 20
)

// relayed is the answer of a reader.
type relayed struct {
	entries  []store.Entry
	changes  []store.Change
	revision uint64
	age      time.Duration
}

// serve answers another instance. What an instance knows from others is never called fresh:
// instances that followed each other could form a circle, in which nobody asks the store.
func (f *Follower) serve(ctx context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
	var q peerpb.ChangesRequest
	if err := proto.Unmarshal(request, &q); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request cannot be decoded", "send a ChangesRequest")
	}
	reply := &peerpb.ChangesReply{}
	var age time.Duration
	if q.Full {
		entries, revision, since, known := f.tail.all()
		for _, e := range entries {
			reply.Rows = append(reply.Rows, &peerpb.ConfigRow{Key: e.Key, Value: e.Value, Since: e.Revision})
		}
		reply.Revision, reply.Gone, age = revision, !known, since
	} else {
		wait := min(time.Duration(q.WaitMs)*time.Millisecond, watchWait)
		direct := f.passesOn()
		if !direct {
			wait = 0
		}
		changes, revision, since, gone := f.tail.wait(ctx, q.After, wait)
		if !direct {
			since = max(since, maxAge+time.Millisecond)
		}
		for _, c := range changes {
			reply.Rows = append(reply.Rows, &peerpb.ConfigRow{Key: c.Key, Value: c.Value, Since: c.Revision, Deleted: c.Deleted})
		}
		reply.Revision, reply.Gone, age = revision, gone, since
	}
	reply.AgeMs = uint32(min(age, time.Hour).Milliseconds())
	return pack(reply)
}

// ask asks a reader for changes; it may wait for one.
func (f *Follower) ask(ctx context.Context, to peer.InstanceID, after uint64, wait time.Duration) (relayed, error) {
	return f.exchange(ctx, to, &peerpb.ChangesRequest{After: after, WaitMs: uint32(wait.Milliseconds())})
}

// askAll asks an instance for all entries. It fails when that instance is behind this one.
func (f *Follower) askAll(ctx context.Context, to peer.InstanceID) (relayed, error) {
	r, err := f.exchange(ctx, to, &peerpb.ChangesRequest{Full: true})
	if err == nil && r.revision < f.after {
		err = fault.New(fault.Unavailable, "the instance is behind this one", "ask another one")
	}
	return r, err
}

func (f *Follower) exchange(ctx context.Context, to peer.InstanceID, request *peerpb.ChangesRequest) (relayed, error) {
	var reply peerpb.ChangesReply
	if err := f.peers.Call(peer.WithTraffic(ctx, peer.CallPath), to, Service, request, &reply); err != nil {
		return relayed{}, err
	}
	if err := unpack(&reply); err != nil {
		return relayed{}, err
	}
	r := relayed{revision: reply.Revision, age: time.Duration(reply.AgeMs) * time.Millisecond}
	switch {
	case reply.Gone && request.Full:
		return r, fault.New(fault.Unavailable, "the reader has nothing yet", "ask another one")
	case reply.Gone:
		return r, fault.New(fault.NotFound, "the reader no longer has the changes", "ask for all entries")
	}
	for _, row := range reply.Rows {
		e := store.Entry{Key: row.Key, Value: row.Value, Revision: row.Since}
		if request.Full {
			r.entries = append(r.entries, e)
		} else {
			r.changes = append(r.changes, store.Change{Entry: e, Deleted: row.Deleted})
		}
	}
	return r, nil
}

// pack compresses the rows of a large reply.
func pack(reply *peerpb.ChangesReply) (*peerpb.ChangesReply, error) {
	if proto.Size(reply) < packFrom {
		return reply, nil
	}
	plain, err := proto.Marshal(&peerpb.ChangesReply{Rows: reply.Rows})
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	reply.Rows, reply.Packed = nil, packed.Bytes()
	return reply, nil
}

func unpack(reply *peerpb.ChangesReply) error {
	if len(reply.Packed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(reply.Packed))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return err
	}
	var rows peerpb.ChangesReply
	if err := proto.Unmarshal(plain, &rows); err != nil {
		return err
	}
	reply.Rows = rows.Rows
	return nil
}
