//go:build !unix

package socket

import "syscall"

// Readable is set if Read can be used.
const Readable = false

// Read is not available here.
func Read(uintptr, []byte) (int, error) { return 0, syscall.EINVAL }
