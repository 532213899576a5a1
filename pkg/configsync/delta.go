package configsync

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// maxUnpacked bounds the size in bytes of the rows of one delta after decompression.
const maxUnpacked = 256 << 20

// delta returns the rows that changed after revision from. It returns all rows if full
// is set or if the changes since from are not known.
func (s *snapshot) delta(from uint64, full bool) (*peerpb.ConfigDelta, error) {
	full = full || from < s.floor || from > s.revision
	d := &peerpb.ConfigDelta{From: from, To: s.revision, Digest: s.digest, Full: full, Floor: s.floor}
	rows := &peerpb.ConfigRows{}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if r := s.rows[key]; full || r.since > from {
			rows.Rows = append(rows.Rows, &peerpb.ConfigRow{Key: key, Value: r.value, Since: r.since, Deleted: r.deleted})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[key]
		d.Held = append(d.Held, &peerpb.ConfigHeld{Key: key, Hash: h.Hash, Kind: string(h.Kind), Reason: h.Reason})
	}
	var err error
	d.Packed, err = pack(rows)
	return d, err
}

func pack(rows *peerpb.ConfigRows) ([]byte, error) {
	data, err := proto.Marshal(rows)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return buf.Bytes(), err
}

func unpack(packed []byte) (*peerpb.ConfigRows, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return nil, err
	}
	rows := &peerpb.ConfigRows{}
	return rows, proto.Unmarshal(data, rows)
}

// errMismatch is returned when the result of a delta does not have the digest in the
// delta, or when the delta starts above the current revision. A full copy is needed then.
var errMismatch = fault.New(fault.Conflict, "the digest of the tables after applying a delta differs from the digest in the delta", "ask for a full copy")

// apply returns the snapshot that results from applying a delta to s. It rejects a
// delta whose target revision is not higher than that of s, and one that starts above it.
func (s *snapshot) apply(d *peerpb.ConfigDelta) (*snapshot, error) {
	if d.GetTo() <= s.revision {
		return nil, fault.Newf(fault.Conflict, "none is needed", "revision %d does not follow revision %d", d.GetTo(), s.revision)
	}
	if !d.GetFull() && d.GetFrom() > s.revision {
		return nil, errMismatch
	}
	rows, err := unpack(d.GetPacked())
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "a delta of the tables cannot be decoded", "compare the releases of the two instances")
	}
	n := &snapshot{revision: d.GetTo(), floor: s.floor, rows: map[string]row{}, held: map[string]Held{}}
	if d.GetFull() {
		n.floor = d.GetFloor()
	} else {
		n.rows = maps.Clone(s.rows)
	}
	for _, r := range rows.GetRows() {
		if isRow(r.GetKey()) {
			n.rows[r.GetKey()] = row{value: r.GetValue(), since: r.GetSince(), deleted: r.GetDeleted()}
		}
	}
	for _, h := range d.GetHeld() {
		n.held[h.GetKey()] = Held{Hash: h.GetHash(), Kind: HeldKind(h.GetKind()), Reason: h.GetReason()}
	}
	if n.digest = digestOf(n.values()); n.digest != d.GetDigest() {
		return nil, errMismatch
	}
	return n.finish(s), nil
}
