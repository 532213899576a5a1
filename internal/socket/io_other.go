//go:build !unix

package socket

import "syscall"

// Usable is set if Read and Write can be used.
const Usable = false

// Read is not available here.
func Read(uintptr, []byte) (int, error) { return 0, syscall.EINVAL }

// Write is not available here.
func Write(uintptr, []byte) (int, error) { return 0, syscall.EINVAL }
