package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"sync"
	"time"
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// interimWriteTime is the time after the deadline of a request at which the write of a 1xx response fails. After a failed write,
// the connection or stream can carry no refusal, so one that begins before the deadline has time to end.
const interimWriteTime = time.Second

var errInterimHeaders = errors.New("the headers of the 1xx responses are too large")

// forward1xx sends a 1xx response to the caller, unless the request may be hedged or the caller's protocol has none. net/http
// sends 100 (Continue) itself. An error ends the attempt as one whose upstream was lost.
func (a *attempt) forward1xx(code int, header textproto.MIMEHeader) (err error) {
	x := a.x
	x.mu.Lock()
	defer x.mu.Unlock()
	defer a.recoverForwarding(&err)
	for name, values := range header {
		for _, v := range values {
			a.interimBytes += len(name) + len(v)
		}
	}
	if a.interimBytes > maxResponseHeader {
		return errInterimHeaders
	}
	if x.no1xx || !x.r.ProtoAtLeast(1, 1) || code == http.StatusContinue || x.pastDeadline() {
		return nil
	}
	h := x.w.Header()
	copyEndToEnd(h, http.Header(header))
	// net/http does not send a Content-Length with a 1xx response, and copies a header that has one. Without the copy,
	// it goes on reading the header of a caller on HTTP/2 that leaves in this moment.
	h["Content-Length"] = nil
	// The watchdog cannot end this write, which holds the mutex that it needs.
	_ = x.control.SetWriteDeadline(x.deadline.Add(interimWriteTime))
	x.w.WriteHeader(code)
	_ = x.control.SetWriteDeadline(time.Time{})
	delete(h, "Content-Length")
	for name := range header {
		delete(h, name)
	}
	return nil
}

// copier copies one response to the caller.
type copier struct {
	x       *exchange
	a       *attempt
	buf     []byte
	resume  *resumption
	written int64
}

// sendResponse copies the response to the caller. With a ticket, the at-most-once
// record is written before the caller can see the end of the response, so that a
// repeated request finds it.
func (x *exchange) sendResponse(a *attempt, t Ticket) *Refusal {
	x.forbid1xx()
	if !x.startResponse(a, t != nil) {
		x.maybeRan.Store(true)
		a.end(EndTimedOut, false)
		if t != nil {
			x.settleClaim(t)
		}
		if x.isEnding() && !x.pastDeadline() {
			return x.refuseEnding()
		}
		return refuseDeadline()
	}
	x.report.upstream = a.upstream.ID
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	c := &copier{x: x, a: a, buf: *buf, resume: newResumption(x, a)}
	if t != nil {
		return c.sendRecorded(t)
	}
	c.writeHeader()
	c.stream()
	return nil
}

// writeHeader sends the status and the header.
func (c *copier) writeHeader() {
	x, resp := c.x, c.a.resp
	h := x.w.Header()
	x.callerHeader(h, resp)
	if x.maybeRan.Load() && h.Get(x.e.proto.Outcome) == string(NotRun) {
		h.Set(x.e.proto.Outcome, string(Unknown)) // an earlier attempt may have run the request
	}
	x.announceClose(h)
	x.announceIdle(h)
	x.report.status, x.report.outcome = resp.StatusCode, "answered"
	if x.conn != nil && !x.r.ProtoAtLeast(1, 1) && resp.ContentLength < 0 && x.r.Method != http.MethodHead { // HTTP/1.0 has no chunks
		x.delimited = true
		x.conn.DelimitByClose()
	}
	x.w.WriteHeader(resp.StatusCode)
	if resp.ContentLength < 0 {
		_ = x.control.Flush() // the upstream may wait for more request bytes before it sends a body
	}
}

// flushDelimited sends the rest of a response that the end of the connection completes, before which the connection may not end in
// order.
func (x *exchange) flushDelimited() {
	if !x.delimited || x.report.aborted {
		return
	}
	x.watch(phaseWriting)
	if err := x.control.Flush(); err != nil {
		x.abort(callerError(err))
	}
}

// announceClose tells the caller that its connection ends with the response, if it does. An instance that leaves closes its
// connections as they become idle.
func (x *exchange) announceClose(h http.Header) {
	if x.e.leaving.Load() || x.r.ProtoMajor == 1 && x.mustClose() {
		h.Set("Connection", "close")
	}
}

// mustClose reports whether the caller's connection must be closed after this
// response. After an early response, reuse would require reading the rest of the
// request body, and a caller that is not told sends its next request on the
// connection. A chunked request may have carried a Content-Length, which
// net/http has removed; RFC 9112 section 6.1 requires closing the connection after
// such a request.
func (x *exchange) mustClose() bool {
	return len(x.r.TransferEncoding) > 0 || !x.body.complete()
}

// stream copies the response body. If the upstream fails, it resumes from another
// upstream or aborts the response.
func (c *copier) stream() {
	for {
		c.x.watch(phaseReading)
		n, err := c.a.read(c.buf)
		if err == io.EOF {
			c.a.end(EndAnswered, true)
		}
		if n > 0 && !c.write(c.buf[:n], err == nil && n < len(c.buf)) {
			return
		}
		switch {
		case err == io.EOF:
			c.writeTrailers()
			return
		case err != nil:
			cause := c.a.readError(err) // before the attempt ends, which cancels it
			if !c.failover(err) {
				c.x.abort(cause)
				return
			}
		}
	}
}

// write sends bytes to the caller and reports success. flush is set after a short
// read, which means that no more bytes are available yet; net/http flushes full
// buffers itself.
func (c *copier) write(p []byte, flush bool) bool {
	c.x.watch(phaseWriting)
	n, err := c.x.w.Write(p)
	c.written += int64(n)
	c.x.report.bytesDown = c.written
	if err == nil && flush {
		err = c.x.control.Flush()
	}
	if err != nil && c.x.r.Method != http.MethodHead {
		c.a.end(EndCancelled, false)
		c.x.abort(callerError(err))
		return false
	}
	return true
}

// failover ends a failed attempt and reports whether another upstream serves the rest of the response.
func (c *copier) failover(err error) bool {
	cause := context.Cause(c.a.ctx)
	switch {
	case errors.Is(cause, errStalled):
		c.a.end(EndTimedOut, false)
	case cause != nil:
		c.a.end(EndCancelled, false)
		return false
	default:
		c.a.err = err
		c.a.end(EndLost, false)
	}
	if c.x.pastResponseDeadline() {
		return false
	}
	next := c.resume.next(c.a, c.written)
	if next == nil {
		return false
	}
	c.a = next
	c.x.report.upstream = next.upstream.ID
	return true
}

// writeTrailers sends the trailers that followed the body. It skips announced ones that did not arrive, which have no values: net/http
// does not end an HTTP/2 response that has only trailers without values.
func (c *copier) writeTrailers() {
	h := c.x.w.Header()
	for name, values := range c.a.resp.Trailer {
		if len(values) == 0 || hopByHop[name] || forbiddenTrailers[name] {
			continue
		}
		if !announced(h, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

func announced(h http.Header, name string) bool {
	for _, v := range h["Trailer"] {
		if v == name {
			return true
		}
	}
	return false
}

// abort marks the response as aborted, so that the caller sees a connection or stream
// error rather than a truncated response.
func (x *exchange) abort(cause error) {
	x.report.aborted, x.report.outcome, x.report.cause = true, "aborted", cause.Error()
	if cause != errSlowCaller && x.callerGone() { // net/http reports the caller as gone after each failed write
		x.report.cause = callerLeft
	}
}

// callerError returns the error for a failed write to the caller. It does not name the caller's address.
func callerError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errSlowCaller
	}
	return errCallerLost
}
