//go:build !linux

// Package socket asks the operating system what package net does not tell of a connection.
package socket

import "syscall"

// HasInput reports whether bytes, or the end of the stream, have arrived that no one has read. Here that is not known.
func HasInput(syscall.RawConn) bool { return false }

// HasUnread reports whether bytes have arrived that no one has read. Here that is not known.
func HasUnread(syscall.RawConn) bool { return false }
