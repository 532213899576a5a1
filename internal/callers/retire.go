package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/internal/socket"
)

// A connection is closed while it carries no request: when it has been idle for too long, gives its place or its memory to
// another one, or the instance leaves. The choice and the reads of net/http exclude each other, so that a request is either
// handled or was never read.

// receive reads from the socket under the mutex, so that retire is either before the read, which then fails, or knows of
// its bytes.
func (c *Conn) receive(p []byte) (n int, err error) {
	if !c.startRead() {
		return 0, errClosed
	}
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.endRead(n, err)
		c.noteTimeout(err)
		return n, err
	}
	c.dst = p
	waitErr := c.raw.Read(c.readNow)
	if errors.Is(waitErr, os.ErrDeadlineExceeded) && c.readLate() {
		waitErr = nil
	}
	c.dst = nil // a background read of net/http passes a part of the object that holds the request
	if waitErr != nil {
		c.endRead(0, nil)
		c.noteTimeout(waitErr)
		return 0, readError(waitErr)
	}
	return c.readN, c.readErr
}

// readLate reads what has arrived of a header section after its deadline, and reports false if that is nothing. The deadline
// is that of the caller, who may have sent the section in time although the instance reads it later. A caller that sends
// without a pause meets the limit on the size of the section.
func (c *Conn) readLate() (arrived bool) {
	c.mu.Lock()
	waits := c.phase == PhaseNew || c.phase == PhaseIdle
	c.mu.Unlock()
	if !waits || c.encrypted {
		return false
	}
	err := c.raw.Control(func(fd uintptr) { arrived = c.readArrived(fd) })
	return arrived && err == nil
}

// startRead records that net/http asks for more bytes, and reports false if it gets none.
func (c *Conn) startRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputClosed {
		return false
	}
	c.waiting, c.delivered = true, false
	return true
}

// endRead records that net/http gets n bytes or an error of the connection.
func (c *Conn) endRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.delivered, c.sectionTimedOut = false, n > 0, false
	c.sectionFailed = c.sectionFailed || n == 0 && c.phase != PhaseActive
	c.broken = c.broken || (err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
}

// noteTimeout records an error of a read that is the timeout of a header section.
func (c *Conn) noteTimeout(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// An encrypted connection announces its end, also when it was idle or its handshake has timed out.
	waits := c.phase == PhaseNew || c.phase == PhaseIdle
	c.sectionTimedOut = waits && !c.encrypted && !c.multiplexed()
}

// readArrived reads what has arrived, and reports false if that is nothing yet. It is called with the socket.
func (c *Conn) readArrived(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.inputClosed {
		c.readN, c.readErr = 0, errClosed
	} else if c.readN, c.readErr = socket.Read(fd, c.dst); errors.Is(c.readErr, syscall.EAGAIN) {
		return false
	} else if c.readErr != nil {
		c.broken = true
		if c.readErr != io.EOF {
			c.readErr = readError(os.NewSyscallError("read", c.readErr))
		}
	}
	c.waiting, c.delivered, c.sectionTimedOut = false, c.readN > 0, false // net/http may read on after a timeout
	c.sectionFailed = c.sectionFailed || c.readN == 0 && c.phase != PhaseActive
	return true
}

// readError returns an error as Read of package net has it, by which net/http tells that it must not respond.
func readError(err error) error {
	var cause *net.OpError
	if errors.As(err, &cause) {
		err = cause.Err
	}
	return &net.OpError{Op: "read", Err: err}
}

// retire decides that the connection will be closed, unless bytes were delivered to net/http that may be a request, or have
// arrived before any of a section was read. After it, no more bytes are read.
func (c *Conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReplaceable() && c.retireLocked()
}

// replaceable reports whether retire would succeed.
func (c *Conn) replaceable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReplaceable() && c.isUseless()
}

// isReplaceable reports whether no bytes have arrived that may start a request. An unfinished section does not keep its
// connection: clients that send one without end would keep theirs.
func (c *Conn) isReplaceable() bool {
	return c.phase == PhaseClosing || c.size != 0 || !socket.HasUnread(c.raw)
}

// isUseless reports whether no bytes were delivered that may be a request, and the connection is not retired yet.
func (c *Conn) isUseless() bool {
	return !c.retired && !c.delivered && c.phase != PhaseActive && !c.settlesAt.After(time.Now())
}

func (c *Conn) retireLocked() bool {
	if !c.isUseless() {
		return false
	}
	c.retired = true
	return true
}

// RetireIdle is retire for a connection that has been idle for too long. The caller must close it if it is retired.
func (c *Conn) RetireIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != PhaseIdle || !c.retireIfQuiet() {
		return false
	}
	c.reason = ReasonIdle
	return true
}

// retireQuiet is retire for a connection on which no request is arriving. A request that has begun to arrive has its own
// timeout.
func (c *Conn) retireQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retireIfQuiet()
}

// retireIfQuiet retires the connection if it is quiet.
func (c *Conn) retireIfQuiet() bool { return c.isQuiet() && c.retireLocked() }

// isQuiet reports whether no bytes of a section have been read, which is not known if it is encrypted, or have arrived.
func (c *Conn) isQuiet() bool {
	return (c.encrypted || c.size == 0) && !socket.HasUnread(c.raw)
}
