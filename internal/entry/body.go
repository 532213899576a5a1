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
//
// A read from the caller cannot be taken back, so for attempts it runs in a goroutine of its own. An attempt that ends
// does not wait for it; the next one gets its bytes.
type requestBody struct {
	source   io.Reader
	limit    int64
	keep     int
	trailer  http.Header // of the caller's request, complete at the end of source
	progress *progressMonitor

	mu      sync.Mutex // not held while source is read
	kept    []byte
	ahead   []byte // read past the kept bytes and not yet taken by the reader
	buf     []byte // the buffer of ahead
	err     error  // of source
	reader  *attemptBody
	reading bool
	changed chan struct{} // closed when a read has ended

	arrived  atomic.Int64
	consumed atomic.Bool // bytes beyond those kept were read, so the body cannot be replayed
	atEOF    atomic.Bool
	failure  atomic.Pointer[error]
}

func newRequestBody(source io.Reader, limit int64, keep int, trailer http.Header, progress *progressMonitor) *requestBody {
	return &requestBody{source: source, limit: limit, keep: keep, trailer: trailer, progress: progress, changed: make(chan struct{})}
}

// fill reads until the body ends or keep bytes are kept. It reports whether the
// complete body is kept. No attempt may be reading.
func (b *requestBody) fill() (complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && len(b.kept) < b.keep {
		p := b.keptSpace()
		b.mu.Unlock()
		n, err := b.read(p)
		b.mu.Lock()
		b.store(n, err, false)
	}
	if b.err != nil && b.err != io.EOF {
		return false, b.err
	}
	return b.err == io.EOF, nil
}

// start returns the bytes that are kept, whether they are the complete body, and whether they are all that can be kept. It
// does not wait for a read from the caller that is in progress, after which the body could not be complete.
func (b *requestBody) start() (kept string, complete, enough bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading {
		return "", false, false
	}
	complete = b.err == io.EOF && !b.consumed.Load()
	return string(b.kept), complete, complete || len(b.kept) >= b.keep
}

// keptSpace returns the space after the kept bytes.
func (b *requestBody) keptSpace() []byte {
	if cap(b.kept) == len(b.kept) {
		grown := make([]byte, len(b.kept), min(max(2*cap(b.kept), 4<<10), b.keep))
		copy(grown, b.kept)
		b.kept = grown
	}
	return b.kept[len(b.kept):cap(b.kept)]
}

// aheadSize is the size in bytes of the buffer for what is read past the kept bytes.
const aheadSize = 32 << 10

// fetch starts a read from the caller if none is in progress. With the kept bytes all taken, only the reader may start one,
// after which no other attempt can send the body.
func (b *requestBody) fetch(a *attemptBody) error {
	if b.reading {
		return nil
	}
	past := len(b.kept) >= b.keep
	var p []byte
	if past {
		if b.reader != a {
			return errDetached
		}
		if b.buf == nil {
			b.buf = make([]byte, aheadSize)
		}
		p = b.buf
		b.consumed.Store(true)
	} else {
		p = b.keptSpace()
	}
	b.reading = true
	go func() {
		n, err := b.read(p)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.store(n, err, past)
		b.reading = false
		close(b.changed)
		b.changed = make(chan struct{})
	}()
	return nil
}

// read reads from the caller.
func (b *requestBody) read(p []byte) (int, error) {
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
	return n, err
}

// store records what a read returned.
func (b *requestBody) store(n int, err error, past bool) {
	if past {
		b.ahead = b.buf[:n]
	} else {
		b.kept = b.kept[:len(b.kept)+n]
	}
	if err != nil {
		b.err = err
		b.atEOF.Store(err == io.EOF)
		if err != io.EOF {
			b.failure.Store(&err)
		}
	}
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

// interrupted reports whether reading the body was ended by this instance.
func (b *requestBody) interrupted() bool { return b != nil && b.progress.interrupted.Load() }

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
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.replayable() {
		return false
	}
	b.reader = nil
	return true
}

// open takes the body from the latest attempt and returns it for another one, or fails if it cannot be sent from its
// first byte. Reads fail once lost is closed. At the end of the body, trailer is filled.
func (b *requestBody) open(trailer http.Header, lost <-chan struct{}) (*attemptBody, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.failed(); err != nil {
		return nil, err
	}
	if b.consumed.Load() {
		return nil, errNotKept
	}
	b.reader = &attemptBody{body: b, trailer: trailer, lost: lost, closed: make(chan struct{})}
	return b.reader, nil
}

// attemptBody is the request body as read by one attempt.
type attemptBody struct {
	body    *requestBody
	trailer http.Header
	offset  int
	lost    <-chan struct{} // closed when the upstream has gone
	closed  chan struct{}
	close   sync.Once
	atEOF   atomic.Bool
	sent    atomic.Int64
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, wait, err := a.take(p)
		if wait == nil {
			a.sent.Add(int64(n))
			return n, err
		}
		select {
		case <-wait:
		case <-a.closed:
			return 0, errDetached
		case <-a.lost:
			return 0, errDetached
		}
	}
}

// take returns bytes that have been read, or the error of the body. If there is neither, it returns a channel that is closed when
// a read has ended.
func (a *attemptBody) take(p []byte) (n int, wait <-chan struct{}, err error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.isClosed() {
		return 0, nil, errDetached
	}
	if b.err == errBodyTooLarge {
		return 0, nil, b.err
	}
	if n = copy(p, b.kept[a.offset:]); n > 0 {
		a.offset += n
		return n, nil, nil
	}
	if b.consumed.Load() && b.reader != a {
		return 0, nil, errDetached
	}
	if n = copy(p, b.ahead); n > 0 {
		b.ahead = b.ahead[n:]
		return n, nil, nil
	}
	if b.err == io.EOF {
		a.finish()
	}
	if b.err != nil {
		return 0, nil, b.err
	}
	if err := b.fetch(a); err != nil {
		return 0, nil, err
	}
	return 0, b.changed, nil
}

func (a *attemptBody) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

func (a *attemptBody) finish() {
	for name := range a.trailer {
		a.trailer[name] = a.body.trailer[name]
	}
	a.atEOF.Store(true)
}

// Close implements io.Closer. It leaves the caller's body open, because a later attempt may read it.
func (a *attemptBody) Close() error {
	a.close.Do(func() { close(a.closed) })
	return nil
}
