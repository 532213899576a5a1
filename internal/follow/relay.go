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

// Service is the peer service through which instances request changes from each other.
const Service = "follow.changes"

const (
	// readerWait is how long a reader may wait for a change before it answers. Together with readerWaitMargin it
	// bounds how long a failed reader goes unnoticed.
	readerWait = 500 * time.Millisecond
	// readerWaitMargin is how much later than readerWait the answer may arrive: a round trip between regions
	// takes 24 ms, the rest is for a loaded or small machine.
	readerWaitMargin = 300 * time.Millisecond
	// compressionThreshold is the size in bytes from which an answer is compressed. A configuration with
	// hundreds of routes shrinks to a tenth, which matters on links of 10 Mbit/s.
	compressionThreshold = 2 << 10
	// maxDecompressed bounds a decompressed answer in bytes: the store keeps values of up to 1 MB.
	maxDecompressed = 64 << 20
)

// readerReply is the decoded answer of a reader.
type readerReply struct {
	entries  []store.Entry
	changes  []store.Change
	position store.Position
	age      time.Duration
}

// handleChanges serves the requests of other instances. Changes that this instance received from another
// one are never reported as fresh: instances that fetch from each other in a cycle would otherwise never
// call the store. The answer to a request for all entries has the age of the data in any case.
func (f *Follower) handleChanges(ctx context.Context, from peer.InstanceID, payload []byte) (proto.Message, error) {
	var request peerpb.ChangesRequest
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request cannot be decoded", "send a ChangesRequest")
	}
	f.callers.record(from, time.Now())
	if request.Region == f.self.Region {
		f.counter.record(from, time.Now())
	}
	reply := &peerpb.ChangesReply{}
	var age time.Duration
	if request.Full {
		entries, position, dataAge, known := f.replica.snapshot()
		for _, e := range entries {
			reply.Rows = append(reply.Rows, &peerpb.ConfigRow{Key: e.Key, Value: e.Value, Since: e.Revision})
		}
		reply.Era, reply.Revision, reply.Gone, age = position.Era, position.Revision, !known, dataAge
	} else {
		wait := min(time.Duration(request.WaitMs)*time.Millisecond, watchWait)
		fresh := f.hasFreshState()
		if !fresh {
			wait = 0
		}
		changes, position, dataAge, gone := f.replica.changesAfter(ctx, store.Position{Era: request.Era, Revision: request.After}, wait)
		if !fresh {
			dataAge = max(dataAge, maxFreshAge+time.Millisecond)
		}
		for _, c := range changes {
			reply.Rows = append(reply.Rows, &peerpb.ConfigRow{Key: c.Key, Value: c.Value, Since: c.Revision, Deleted: c.Deleted})
		}
		reply.Era, reply.Revision, reply.Gone, age = position.Era, position.Revision, gone, dataAge
	}
	reply.AgeMs = uint32(min(age, time.Hour).Milliseconds())
	return compressRows(reply)
}

// requestChanges requests the changes after a position; the reader may wait for one.
func (f *Follower) requestChanges(ctx context.Context, to peer.InstanceID, after store.Position, wait time.Duration) (readerReply, error) {
	return f.callInstance(ctx, to, &peerpb.ChangesRequest{Era: after.Era, After: after.Revision, WaitMs: uint32(wait.Milliseconds())})
}

// requestSnapshot requests all entries. It fails when the other instance has an earlier position than this one.
func (f *Follower) requestSnapshot(ctx context.Context, to peer.InstanceID) (readerReply, error) {
	r, err := f.callInstance(ctx, to, &peerpb.ChangesRequest{Full: true})
	if err == nil && r.position.Before(f.replica.at()) {
		err = fault.New(fault.Unavailable, "the instance has an earlier position in the store's history than this one", "ask another one")
	}
	return r, err
}

func (f *Follower) callInstance(ctx context.Context, to peer.InstanceID, request *peerpb.ChangesRequest) (readerReply, error) {
	var reply peerpb.ChangesReply
	request.Region = f.self.Region
	if err := f.peers.Call(peer.WithTraffic(ctx, peer.CallPath), to, Service, request, &reply); err != nil {
		return readerReply{}, err
	}
	if err := decompressRows(&reply); err != nil {
		return readerReply{}, err
	}
	r := readerReply{position: store.Position{Era: reply.Era, Revision: reply.Revision}, age: time.Duration(reply.AgeMs) * time.Millisecond}
	switch {
	case reply.Gone && request.Full:
		return r, fault.New(fault.Unavailable, "the reader has no state yet", "ask another one")
	case reply.Gone:
		return r, fault.New(fault.NotFound, "the reader no longer has the changes", "ask for all entries")
	}
	for _, row := range reply.Rows {
		e := store.Entry{Key: row.Key, Value: row.Value, Revision: row.Since, Era: reply.Era}
		if request.Full {
			r.entries = append(r.entries, e)
		} else {
			r.changes = append(r.changes, store.Change{Entry: e, Deleted: row.Deleted})
		}
	}
	return r, nil
}

// compressRows compresses the rows of a large reply.
func compressRows(reply *peerpb.ChangesReply) (*peerpb.ChangesReply, error) {
	if proto.Size(reply) < compressionThreshold {
		return reply, nil
	}
	plain, err := proto.Marshal(&peerpb.ChangesReply{Rows: reply.Rows})
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	reply.Rows, reply.Packed = nil, compressed.Bytes()
	return reply, nil
}

func decompressRows(reply *peerpb.ChangesReply) error {
	if len(reply.Packed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(reply.Packed))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressed+1))
	if err != nil {
		return err
	}
	if len(plain) > maxDecompressed {
		return fault.Newf(fault.Unavailable, "read the store", "the answer of the instance has more than %d bytes", maxDecompressed)
	}
	var rows peerpb.ChangesReply
	if err := proto.Unmarshal(plain, &rows); err != nil {
		return err
	}
	reply.Rows = rows.Rows
	return nil
}
