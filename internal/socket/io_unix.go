//go:build unix

package socket

import (
	"io"
	"syscall"
)

// Usable is set if Read and Write can be used.
const Usable = true

// Write writes what the system takes, without waiting. The error is syscall.EAGAIN if that is nothing.
func Write(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

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
