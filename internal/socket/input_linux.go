package entry

import (
	"syscall"
)

// hasInput reports whether bytes, or the end of the stream, have arrived that no one has read.
func hasInput(c syscall.RawConn) bool {
	if c == nil {
		return false
	}
	var b [1]byte
	err := syscall.EAGAIN
	controlErr := c.Control(func(fd uintptr) {
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		err, _ = recvErr.(syscall.Errno)
	})
	return controlErr != nil || err != syscall.EAGAIN && err != syscall.EINTR
}
