// Package socket asks the operating system what package net does not tell of a connection.
package socket

import "syscall"

// HasInput reports whether bytes, or the end of the stream, have arrived that no one has read.
func HasInput(c syscall.RawConn) bool {
	if c == nil {
		return false
	}
	_, err := peek(c)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// HasUnread reports whether bytes have arrived that no one has read.
func HasUnread(c syscall.RawConn) bool {
	if c == nil {
		return false
	}
	n, _ := peek(c)
	return n > 0
}

func peek(c syscall.RawConn) (n int, err error) {
	var b [1]byte
	if controlErr := c.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
