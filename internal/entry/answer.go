package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// traced passes 1xx answers on. They are dropped when copies of the request race.
func (x *exchange) traced(ctx context.Context) context.Context {
	if !x.r.ProtoAtLeast(1, 1) {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: x.inform})
}

// inform passes a 1xx answer to the caller. 100 (Continue) is net/http's own part.
func (x *exchange) inform(code int, header textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.informed || code == http.StatusContinue {
		return nil
	}
	h := x.w.Header()
	copyEndToEnd(h, http.Header(header))
	x.w.WriteHeader(code)
	for name := range header {
		delete(h, name)
	}
	return nil
}

// copier passes one answer to the caller.
type copier struct {
	x       *exchange
	a       *attempt
	buf     []byte
	resume  *resumption
	written int64
}

// answer passes the answer on. With a ticket, the record is written before the
// caller can see the end of the answer, so that a repeat finds it.
func (x *exchange) answer(a *attempt, t Ticket) *Refusal {
	x.forbid1xx()
	x.report.upstream = a.upstream.ID
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	c := &copier{x: x, a: a, buf: *buf, resume: newResumption(x, a)}
	x.watch(phaseReading)
	if t != nil {
		return c.once(t)
	}
	c.head()
	c.stream()
	return nil
}

// head sends status and header.
func (c *copier) head() {
	x, resp := c.x, c.a.resp
	h := x.w.Header()
	x.callerHeader(h, resp)
	if x.maybeRan.Load() && h.Get(x.e.proto.Outcome) == string(NotRun) {
		h.Set(x.e.proto.Outcome, string(Unknown)) // an earlier attempt may have run the request
	}
	if x.r.ProtoMajor == 1 && x.mustClose(resp) {
		h.Set("Connection", "close")
	}
	x.report.status, x.report.outcome = resp.StatusCode, "answered"
	x.w.WriteHeader(resp.StatusCode)
	if resp.ContentLength < 0 {
		_ = x.control.Flush() // the upstream may wait for the caller's next bytes before it sends its own
	}
}

// mustClose reports whether the caller's connection ends with this answer. After
// an early answer the rest of the body would have to be read first. A chunked
// request may have carried a Content-Length, which net/http has removed; RFC 9112
// section 6.1 asks to close the connection after such a request.
func (x *exchange) mustClose(resp *http.Response) bool {
	return len(x.r.TransferEncoding) > 0 || (resp.StatusCode >= 400 && !x.body.complete())
}

// stream copies the body and resumes or aborts when the upstream fails.
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
			c.trailers()
			return
		case err != nil && !c.recover(err):
			c.abort()
			return
		}
	}
}

// write passes bytes to the caller. A short read means that no more is there yet,
// so the bytes are flushed; full buffers are flushed by net/http itself.
func (c *copier) write(p []byte, flush bool) bool {
	c.x.watch(phaseWriting)
	n, err := c.x.w.Write(p)
	c.written += int64(n)
	c.x.report.down = c.written
	if err == nil && flush {
		err = c.x.control.Flush()
	}
	if err != nil && c.x.r.Method != http.MethodHead {
		c.a.end(EndCancelled, false)
		c.abort()
		return false
	}
	return true
}

// recover ends a failed attempt and reports whether another upstream gives the rest.
func (c *copier) recover(err error) bool {
	cause := context.Cause(c.a.ctx)
	switch {
	case errors.Is(cause, errStalled):
		c.a.end(EndLate, false)
	case cause != nil:
		c.a.end(EndCancelled, false)
		return false
	default:
		c.a.err = err
		c.a.end(EndLost, false)
	}
	if c.x.overdue() {
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

// trailers sends the trailers that came after the body.
func (c *copier) trailers() {
	h := c.x.w.Header()
	for name, values := range c.a.resp.Trailer {
		if hopByHop[name] || forbiddenTrailers[name] {
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

// abort makes the caller see an error in place of a shortened answer.
func (c *copier) abort() {
	c.x.report.abort, c.x.report.outcome = true, "aborted"
}
