package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Guards against input that makes the reader panic, allocate more memory than the bytes
// that arrive, lose the frame boundary after a skipped frame, or return a frame that
// changes when it is encoded again.
func FuzzReadFrame(f *testing.F) {
	valid, err := encodeFrame(&peerpb.Frame{Kind: &peerpb.Frame_Request{Request: &peerpb.Request{Id: 1, Service: "echo", TimeoutUs: 5, Payload: []byte("x")}}}, maxHello)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(append([]byte{9, 0, 0, 0, 2, 0xff, 0xff}, valid...))
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 128 << 10
		r := bytes.NewReader(data)
		for {
			before := r.Len()
			frame, size, err := readFrame(r, limit)
			if err != nil && !errors.Is(err, errSkipped) {
				return
			}
			if before-r.Len() != size {
				t.Fatalf("read %d bytes for a frame of %d", before-r.Len(), size)
			}
			if err != nil {
				continue
			}
			again, err := encodeFrame(frame, limit+1024)
			if err != nil {
				t.Fatal(err)
			}
			back, _, err := readFrame(bytes.NewReader(again), limit+1024)
			if err != nil || !proto.Equal(frame, back) {
				t.Fatalf("%v came back as %v: %v", frame, back, err)
			}
		}
	})
}

// Guards against trusting a length above the limit or beyond the bytes that arrive.
func TestAFalseLengthEndsTheConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"beyond the limit", []byte{1, 0xff, 0xff, 0xff, 0xff}, nil},
		{"cut short", []byte{1, 0, 0, 0, 9, 1}, io.ErrUnexpectedEOF},
		{"cut short and large", []byte{1, 0, 2, 0, 0, 1}, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := readFrame(bytes.NewReader(c.data), 1<<20)
			is.True(err != nil && !errors.Is(err, errSkipped))
			is.True(c.want == nil || errors.Is(err, c.want))
		})
	}
}

// Guards against decoding an error kind of a newer release as Unavailable, which would allow a retry.
func TestUnknownErrorKindBecomesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	err := decodeError(&peerpb.Error{Kind: "new-kind", Message: "m", Remedy: "r"})
	is.Equal(encodeError(err).Kind, "outcome-unknown")
}
