//go:build unix

package socket

import (
	"io"
	"syscall"
)

// Readable is set if Read can be used.
const Readable = true

// Read reads what has arrived, without waiting. The error is syscall.EAGAIN if that is nothing, and io.EOF at the end.
func Read(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		}
		return n, nil
	}
}
