package callers

import (
	"net"
	"time"

	"github.com/turmericsail/turmericsail/internal/socket"
)

// The system resets a connection that is closed with unread bytes, or to which bytes still arrive, and the reset can destroy
// a response that the caller has not read yet (RFC 9112, section 9.6). After a response that did not wait for the whole
// request, or if the caller has sent further requests, a connection is therefore half-closed, and closed when the caller has
// closed its side or a bound is reached.
const (
	// lingerTime bounds how long input is discarded before a connection is closed.
	lingerTime = 5 * time.Second
	// lingerSilence bounds the wait for the next bytes meanwhile.
	lingerSilence = time.Second
	// lingerBytes bounds the input that is discarded, in bytes.
	lingerBytes = 16 << 20
	// lingerBuffer is the memory in bytes of a connection that discards its input: as much as a reader of net/http.
	lingerBuffer = 4 << 10
)

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// StartResponse records that a handler has a request of HTTP/1 and begins its response.
func (c *Conn) StartResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = true
}

// DelimitByClose records that the end of the connection will complete the response, as in HTTP/1.0 if its length is not known. Until
// FinishResponse is called, a close resets the connection, also one by the system when the process ends.
func (c *Conn) DelimitByClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delimiting = true
	c.setLinger(0)
}

// AbortResponse records that a response will not be completed. It does nothing after FinishResponse, and if the end of the
// connection would not complete the response. unread is set if the rest of the request is discarded before the connection is
// reset: the system of a caller that is still sending would give the reset to the sender, and an orderly end to the reader.
func (c *Conn) AbortResponse(unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delimiting {
		c.aborted, c.unread, c.inputClosed = true, unread, unread
	}
}

// setLinger sets what a close does with bytes that were not sent yet: 0 discards them and resets the connection, -1 sends them.
func (c *Conn) setLinger(seconds int) {
	if s, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = s.SetLinger(seconds) // fails only on a closed connection
	}
}

// FinishResponse records that the handler's response is complete, and sent if DelimitByClose was called. unread is set if it did
// not wait for the whole request, and last if net/http closes the connection after it. Reads of net/http fail after both: it
// would wait for the request's end before it closes the connection.
func (c *Conn) FinishResponse(unread, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return // meanwhile, because the process ends
	}
	if c.delimiting {
		c.delimiting = false
		c.setLinger(-1)
	}
	c.responding, c.unread = false, unread
	c.inputClosed = unread && last
}

// lingers reports whether the connection must linger when net/http closes it: the caller may still be sending the request, or has
// sent further ones, and the last response is aborted or complete, one of a handler or of net/http itself.
func (c *Conn) lingers() bool {
	switch {
	case c.phase != PhaseActive || c.multiplexed() || c.reason != "":
		return false
	case c.aborted:
		return c.unread
	}
	return !c.responding && c.written && !c.broken && (c.unread || c.hasFurtherInput())
}

// hasFurtherInput reports whether bytes have arrived after a request that was read to its end. net/http reads the first of
// them while the handler runs.
func (c *Conn) hasFurtherInput() bool { return c.delivered || socket.HasUnread(c.raw) }

// linger half-closes the connection, unless its response is aborted, and discards its input, after which the connection is closed.
// It reports false if that is not possible.
func (c *Conn) linger() bool {
	half, ok := c.Conn.(halfCloser)
	if !ok {
		return false
	}
	c.mu.Lock()
	if c.ended || c.phase == PhaseClosing {
		c.mu.Unlock()
		return true
	}
	c.phase, c.delivered, c.inputClosed = PhaseClosing, false, true
	aborted := c.aborted
	c.mu.Unlock()
	c.member.Enter(PhaseClosing)
	c.release()
	if !aborted && half.CloseWrite() != nil {
		return false // the connection has failed
	}
	go c.discard()
	return true
}

// discard reads until the caller closes its side or a bound is reached, and closes the connection.
func (c *Conn) discard() {
	buf := make([]byte, lingerBuffer)
	end := time.Now().Add(lingerTime)
	for left := lingerBytes; left > 0; {
		until := time.Now().Add(lingerSilence)
		if until.After(end) {
			until = end
		}
		_ = c.Conn.SetReadDeadline(until) // fails only on a closed connection, whose next read fails, too
		n, err := c.Conn.Read(buf)
		if left -= n; err != nil {
			break
		}
	}
	_ = c.end() // it cannot be used after a failed close either
}
