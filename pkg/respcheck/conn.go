package respcheck

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/internal/socket"
)

// Conn is a connection on which responses arrive. Its reads do not take a failure of the connection for an orderly end.
//
// The system returns the error of a connection that has failed, such as a reset, to one call only. If a write of the request
// gets it, the next read returns io.EOF, which would end a response without a length.
//
// A write that has failed returns when a read has met the end, too, or the connection is closed: net/http closes a connection whose
// write has failed, and would lose what is left of a response. Another goroutine must therefore read, as that of net/http does.
type Conn struct {
	net.Conn
	raw  syscall.RawConn // nil if it is not a socket
	sent atomic.Int64

	writing sync.Mutex // held during Write
	// The source and result of writeAvailable, whose method value is kept to save allocations.
	src      []byte
	written  int
	writeErr error
	writeNow func(fd uintptr) bool

	// mu is held from before a write of the system until its error is recorded. The system does not block in it, so a read that
	// ends at the same time waits for the record only.
	mu      sync.Mutex
	failure error // that a write got

	over chan struct{} // closed when no further read can succeed
	end  sync.Once
}

// maxDrainTime bounds how long a failed write waits for the reads.
const maxDrainTime = 30 * time.Second

var (
	_ net.Conn     = (*Conn)(nil)
	_ syscall.Conn = (*Conn)(nil)
)

// NewConn returns a Conn on c. If c is not a socket, its own reads tell how it has ended.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c, over: make(chan struct{})}
	conn.writeNow = conn.writeAvailable
	if s, ok := c.(syscall.Conn); ok && socket.Usable {
		if raw, err := s.SyscallConn(); err == nil { // it fails only on a closed connection, whose first read fails, too
			conn.raw = raw
		}
	}
	return conn
}

// DialFunc opens a connection, as DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function for http.Transport.DialContext that opens a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// SyscallConn implements syscall.Conn. It fails if the connection is not a socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.ErrUnsupported
	}
	return c.raw, nil
}

// Sent returns the number of bytes that the system may have taken. It is not too low while a write is in progress.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.endReads()
	}
	if err == io.EOF || errors.Is(err, net.ErrClosed) { // closed, as net/http does after a failed write
		if failure := c.failed(); failure != nil {
			err = c.opError("read", failure)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.endReads()
	return c.Conn.Close()
}

func (c *Conn) endReads() { c.end.Do(func() { close(c.over) }) }

func (c *Conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	write := c.Conn.Write
	if c.raw != nil {
		write = c.writeSocket
	}
	n, err := write(p)
	c.sent.Add(int64(n - len(p)))
	if c.raw != nil && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.awaitReads()
	}
	return n, err
}

// awaitReads waits until no further read can succeed. On a connection that has failed, reads do not block.
func (c *Conn) awaitReads() {
	bound := time.NewTimer(maxDrainTime)
	defer bound.Stop()
	select {
	case <-c.over:
	case <-bound.C:
	}
}

func (c *Conn) writeSocket(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.src, c.written, c.writeErr = p, 0, nil
	err := c.raw.Write(c.writeNow)
	c.src = nil
	if err == nil {
		err = c.writeErr
	}
	if err != nil {
		err = c.opError("write", err)
	}
	return c.written, err
}

// writeAvailable writes until the system takes no more, and reports false if it must be called again. It is called with the
// socket.
func (c *Conn) writeAvailable(fd uintptr) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.written < len(c.src) {
		n, err := socket.Write(fd, c.src[c.written:])
		c.written += n
		switch {
		case err == nil:
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false
		case !errors.Is(err, syscall.EPIPE): // which Linux returns after the orderly end of the other side
			c.failure = err
		}
		c.writeErr = err
		return true
	}
	return true
}

// opError returns an error as package net has it.
func (c *Conn) opError(op string, err error) error {
	if cause, ok := errors.AsType[*net.OpError](err); ok {
		err = cause.Err
	}
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError(op, errno)
	}
	return &net.OpError{Op: op, Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}
