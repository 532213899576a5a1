package idempotency

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// chunkBytes is the size in bytes at which a chunk of exported records is closed. The last
// record of a chunk, with its answer, may exceed it.
const chunkBytes = 256 << 10

// prefixBits is the length of a key prefix in bits. An export cursor consists of a shard
// number and the lowest key prefix that is still to be exported.
const prefixBits = 48

func (k recordKey) prefix() uint64 { return binary.BigEndian.Uint64(k[:8]) >> (64 - prefixBits) }

// Export implements view.RecordStore.
func (r *Replica) Export(now time.Time, cursor uint64) (chunk []byte, next uint64) {
	out := &peerpb.RecordChunk{}
	size := 0
	i, from := cursor>>prefixBits, cursor&(1<<prefixBits-1)
	for ; i < uint64(len(r.shards)); i, from = i+1, 0 {
		if last, full := r.shards[i].export(now.Sub(r.base), from, out, &size); full {
			next = i<<prefixBits + last + 1
			break
		}
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil, 0
	}
	return data, next
}

// export appends the records whose key prefix is at least from. It returns the last
// exported prefix and whether the chunk is full. Records with the same prefix are never
// split across chunks.
func (s *shard) export(now time.Duration, from uint64, out *peerpb.RecordChunk, size *int) (last uint64, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]recordKey, 0, len(s.records))
	for key := range s.records {
		if key.prefix() >= from {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b recordKey) int { return cmp.Compare(a.prefix(), b.prefix()) })
	for i, key := range keys {
		if *size >= chunkBytes && i > 0 && key.prefix() != last {
			return last, true
		}
		last = key.prefix()
		if r := s.current(now, key); r != nil {
			*size += r.export(now, key, out)
		}
	}
	return last, *size >= chunkBytes
}

func (r *record) export(now time.Duration, key recordKey, out *peerpb.RecordChunk) (size int) {
	for _, c := range r.claims {
		out.Records = append(out.Records, &peerpb.Record{
			Key: key[:], Id: c.id.proto(), State: uint32(c.state), Digest: bytes.Clone(c.digest[:]),
			WindowMs: millis(c.window), RemainingMs: millis(c.expires - now), AnswerKept: c.kept, Answer: c.answer,
		})
		size += claimCost + len(c.answer)
	}
	return size
}

// Import implements view.RecordStore.
func (r *Replica) Import(now time.Time, chunk []byte) error {
	claims, err := decodeChunk(chunk)
	if err != nil {
		return err
	}
	at := now.Sub(r.base)
	for _, in := range claims {
		in.claim.id.claimant = r.names.intern(in.claim.id.claimant)
		in.claim.expires += at
		r.shard(in.key).importClaim(at, in)
	}
	return nil
}

func (s *shard) importClaim(now time.Duration, in importedClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(now, in.key, in.claim)
}

type importedClaim struct {
	key   recordKey
	claim claim
}

func decodeChunk(chunk []byte) ([]importedClaim, error) {
	var in peerpb.RecordChunk
	if err := proto.Unmarshal(chunk, &in); err != nil {
		return nil, malformed("record chunk", err)
	}
	out := make([]importedClaim, 0, len(in.GetRecords()))
	for _, rec := range in.GetRecords() {
		c, err := decodeRecord(rec)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

func decodeRecord(rec *peerpb.Record) (importedClaim, error) {
	key, id, err := decodeIdentity(rec.GetKey(), rec.GetId())
	if err != nil {
		return importedClaim{}, err
	}
	window, err := decodeWindow(rec.GetWindowMs())
	if err != nil {
		return importedClaim{}, err
	}
	remaining := time.Duration(min(rec.GetRemainingMs(), millis(heldFor(MaxWindow)))) * time.Millisecond
	if rec.GetState() > uint32(stateReleased) || len(rec.GetAnswer()) > MaxAnswer || len(rec.GetDigest()) != len(Digest{}) {
		return importedClaim{}, fault.New(fault.Invalid, "a handed-over record is malformed", "run compatible releases on all instances")
	}
	c := claim{id: id, window: window, expires: remaining, digest: Digest(rec.GetDigest()), state: state(rec.GetState())}
	if c.state == stateDone && rec.GetAnswerKept() {
		c.kept, c.answer = true, rec.GetAnswer()
	}
	return importedClaim{key, c}, nil
}
