package respcheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// ErrCut is wrapped by the errors for bodies that ended before their end, unless their reader gave them up. The request may have
// run.
var ErrCut = errors.New("response cut short")

// Broken reports whether an error tells that a response was malformed or cut short, so that nothing in it counts.
func Broken(err error) bool { return errors.Is(err, ErrMalformed) || errors.Is(err, ErrCut) }

// How responses are cut short, a label of the metric.
const (
	reasonReset    reason = "reset"     // of the connection
	reasonEarlyEnd reason = "early-end" // in order, but before the stated length or the last chunk
	reasonFailure  reason = "failure"   // another one, as of the network or of a stream of HTTP/2
)

// checkedBody is a body whose end is an error if it was cut short, or if the trailer that follows it is malformed.
type checkedBody struct {
	io.ReadCloser
	ctx     context.Context // of the request
	resp    *http.Response
	source  Source
	discard func() // closes the connection
	closed  atomic.Bool
	broken  error // the error of all further reads
}

var _ io.ReadCloser = (*checkedBody)(nil)

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.broken != nil {
		return 0, b.broken
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case err != io.EOF:
		err = b.readError(err)
	case slices.Contains(b.resp.TransferEncoding, "chunked"): // other bodies of HTTP/1 have no trailer
		if malformed := b.source.checkHeader(b.resp.Trailer); malformed != nil {
			b.discard()
			b.broken, err = malformed, malformed
		}
	}
	return n, err
}

// readError returns the error for a failed read. It is ErrCut unless the response is malformed or the reader gave it up.
func (b *checkedBody) readError(err error) error {
	err = b.source.transportError(err)
	switch {
	case b.closed.Load() || b.ctx.Err() != nil:
		return err
	case !errors.Is(err, ErrMalformed):
		err = b.source.cut(err)
	}
	b.broken = err
	return err
}

// Close implements io.Closer.
func (b *checkedBody) Close() error {
	b.closed.Store(true)
	return b.ReadCloser.Close()
}

// cut counts a response that was cut short and returns the error for it.
func (s Source) cut(cause error) error {
	r := reasonFailure
	switch {
	case errors.Is(cause, syscall.ECONNRESET):
		r = reasonReset
	case errors.Is(cause, io.ErrUnexpectedEOF):
		r = reasonEarlyEnd
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_cut_responses_total{source=%q,reason=%q}", s, r)).Inc()
	return fmt.Errorf("%w: %w", ErrCut, cause)
}
