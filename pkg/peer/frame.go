package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// A frame is a version byte, the length of the body as a big-endian uint32, and
// the body, a peerpb.Frame. The header is the same in every version, so a receiver
// can skip a body that it cannot decode and continue with the next frame.
const (
	frameVersion = 1
	headerSize   = 5
	// maxPreallocated is the body size in bytes up to which the buffer is allocated before the body arrives.
	maxPreallocated = 64 << 10
	// maxHello is the size limit in bytes of the first frame, which is read before the sender is known.
	maxHello = 4 << 10
)

// errSkipped means that a frame was read completely but cannot be decoded. The connection stays usable.
var errSkipped = errors.New("frame skipped")

func encodeFrame(f *peerpb.Frame, limit int) ([]byte, error) {
	size := proto.Size(f)
	if size > limit {
		return nil, fault.Newf(fault.Invalid, "send less at once", "a message of %d bytes exceeds the limit of %d", size, limit)
	}
	buf := make([]byte, headerSize, headerSize+size)
	buf[0] = frameVersion
	binary.BigEndian.PutUint32(buf[1:], uint32(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, f)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "the message cannot be encoded", "report this defect")
	}
	return buf, nil
}

// readFrame reads exactly one frame and returns it with its size. After
// errSkipped, r is at the next frame; after any other error r is unusable.
func readFrame(r io.Reader, limit int) (*peerpb.Frame, int, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if uint64(length) > uint64(limit) {
		return nil, headerSize, fmt.Errorf("a frame of %d bytes exceeds the limit of %d", length, limit)
	}
	body, err := readBody(r, int(length))
	size := headerSize + int(length)
	if err != nil {
		return nil, size, err
	}
	f := &peerpb.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, size, errors.Join(errSkipped, err)
	}
	if header[0] == 0 || f.Kind == nil {
		return nil, size, errSkipped
	}
	return f, size, nil
}

// readBody reads the body of a frame. It does not trust the announced length: above
// maxPreallocated, memory grows with the bytes that arrive.
func readBody(r io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocated {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, int64(length)))
	if err == nil && n < int64(length) {
		err = io.ErrUnexpectedEOF
	}
	return buf.Bytes(), err
}

func writeFrame(w io.Writer, f *peerpb.Frame) error {
	data, err := encodeFrame(f, maxHello)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

func encodeError(err error) *peerpb.Error {
	out := &peerpb.Error{Kind: string(fault.KindOf(err)), Message: err.Error(), UnknownService: errors.Is(err, ErrUnknownService)}
	if e, ok := fault.As(err); ok {
		out.Message, out.Remedy = e.Message, e.Remedy
	}
	return out
}

var knownKinds = map[fault.Kind]bool{
	fault.Invalid: true, fault.NotFound: true, fault.Conflict: true, fault.Unavailable: true,
	fault.OutcomeUnknown: true, fault.Refused: true, fault.Exhausted: true, fault.Internal: true,
}

// decodeError returns the error of another instance. A kind that this release
// does not know becomes OutcomeUnknown, which allows the fewest conclusions.
func decodeError(e *peerpb.Error) error {
	kind := fault.Kind(e.Kind)
	if !knownKinds[kind] {
		kind = fault.OutcomeUnknown
	}
	if e.UnknownService {
		return fault.Wrap(kind, ErrUnknownService, e.Message, e.Remedy)
	}
	return fault.New(kind, e.Message, e.Remedy)
}
