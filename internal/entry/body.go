package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// replayLimit bounds the bytes of a request body that are kept for another attempt.
const replayLimit = 64 << 10

var (
	errBodyTooLarge = errors.New("the request body is larger than the limit")
	errBodySlow     = errors.New("the request body arrives too slowly")
	errDetached     = errors.New("the attempt has ended")
	errNotKept      = errors.New("the start of the request body is no longer kept")
)

// requestBody reads a caller's body once and serves it to successive attempts. It
// keeps the first keep bytes, so that the request can be retried as long as no more
// than that was read. At most one attempt may read on, the latest one: what an earlier one
// read past the kept bytes would be missing in the body of the next.
type requestBody struct {
	source   io.Reader
	limit    int64
	keep     int
	trailer  http.Header // of the caller's request, complete at the end of source
	progress *progressMonitor

	mu       sync.Mutex // held while source is read
	kept     []byte
	err      error
	arrived  atomic.Int64
	consumed atomic.Bool // bytes beyond those kept were read, so the body cannot be replayed
	atEOF    atomic.Bool
	failure  atomic.Pointer[error]

	readerMu sync.Mutex // held while reader or consumed is set, but not while source is read
	reader   *attemptBody
}

// fill reads until the body ends or keep bytes are kept. It reports whether the
// complete body is kept.
func (b *requestBody) fill() (complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && len(b.kept) < b.keep {
		b.readKept()
	}
	if b.err != nil && b.err != io.EOF {
		return false, b.err
	}
	return b.err == io.EOF, nil
}

// start returns the bytes that are kept, whether they are the complete body, and whether they are all that can be kept. It
// does not wait for a read from the caller that is in progress, after which the body could not be complete.
func (b *requestBody) start() (kept string, complete, enough bool) {
	if !b.mu.TryLock() {
		return "", false, false
	}
	defer b.mu.Unlock()
	complete = b.err == io.EOF && !b.consumed.Load()
	return string(b.kept), complete, complete || len(b.kept) >= b.keep
}

func (b *requestBody) readKept() {
	if cap(b.kept)-len(b.kept) == 0 {
		grown := make([]byte, len(b.kept), min(max(2*cap(b.kept), 4<<10), b.keep))
		copy(grown, b.kept)
		b.kept = grown
	}
	n := b.read(b.kept[len(b.kept):cap(b.kept)])
	b.kept = b.kept[:len(b.kept)+n]
}

// read reads from the caller and records the end of the body or an error.
func (b *requestBody) read(p []byte) int {
	b.progress.beginRead()
	n, err := b.source.Read(p)
	slow := b.progress.endRead(n)
	total := b.arrived.Add(int64(n))
	switch {
	case total > b.limit:
		err = errBodyTooLarge
	case err != nil && err != io.EOF && slow:
		err = errBodySlow
	}
	if err != nil {
		b.err = err
		b.atEOF.Store(err == io.EOF)
		if err != io.EOF {
			b.failure.Store(&err)
		}
	}
	return n
}

// complete reports whether the body was received to its end. A nil body is complete.
func (b *requestBody) complete() bool { return b == nil || b.atEOF.Load() }

// received returns the number of bytes received. It may be slightly too low while
// an attempt is still reading.
func (b *requestBody) received() int64 { return b.arrived.Load() }

// close stops the progress monitor; it is called before the caller's request
// ends. net/http unblocks a read that is still pending.
func (b *requestBody) close() {
	if b != nil {
		b.progress.close()
	}
}

// failed returns the error from reading the caller's body, if any.
func (b *requestBody) failed() error {
	if b == nil {
		return nil
	}
	if err := b.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// replayable reports whether another attempt could send the complete body now. That may change until rewind is called.
func (b *requestBody) replayable() bool {
	return b == nil || (!b.consumed.Load() && b.failed() == nil)
}

// rewind reports whether another attempt can send the complete body. If so, it takes the body from the latest one, and
// nothing is read past the kept bytes until the next one does.
func (b *requestBody) rewind() bool {
	if b == nil {
		return true
	}
	b.readerMu.Lock()
	defer b.readerMu.Unlock()
	if !b.replayable() {
		return false
	}
	b.reader = nil
	return true
}

// open takes the body from the latest attempt and returns it for another one, or fails if it cannot be sent from its
// first byte. At the end of the body, trailer is filled.
func (b *requestBody) open(trailer http.Header) (*attemptBody, error) {
	b.readerMu.Lock()
	defer b.readerMu.Unlock()
	if err := b.failed(); err != nil {
		return nil, err
	}
	if b.consumed.Load() {
		return nil, errNotKept
	}
	b.reader = &attemptBody{body: b, trailer: trailer}
	return b.reader, nil
}

// beginConsuming reports whether an attempt may read past the kept bytes, after which no other one can.
func (b *requestBody) beginConsuming(a *attemptBody) bool {
	b.readerMu.Lock()
	defer b.readerMu.Unlock()
	if b.reader != a {
		return false
	}
	b.consumed.Store(true)
	return true
}

// attemptBody is the request body as read by one attempt.
type attemptBody struct {
	body    *requestBody
	trailer http.Header
	offset  int
	closed  atomic.Bool
	atEOF   atomic.Bool
	sent    atomic.Int64
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed.Load() {
		return 0, errDetached
	}
	if a.offset == len(b.kept) && b.err == nil && !b.consumed.Load() && len(b.kept) < b.keep {
		b.readKept()
	}
	n := copy(p, b.kept[a.offset:])
	a.offset += n
	if n == 0 && b.err == nil {
		if !b.beginConsuming(a) {
			return 0, errDetached
		}
		n = b.read(p)
	}
	a.sent.Add(int64(n))
	if n > 0 && b.err != errBodyTooLarge {
		return n, nil
	}
	if b.err == io.EOF {
		a.finish()
	}
	return 0, b.err
}

func (a *attemptBody) finish() {
	for name := range a.trailer {
		a.trailer[name] = a.body.trailer[name]
	}
	a.atEOF.Store(true)
}

// Close implements io.Closer. It leaves the caller's body open, because a later attempt may read it.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}
