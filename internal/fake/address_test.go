package fake

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a port that two test processes use: an instance then found its address in use when it started again.
func TestFreeAddressIsReserved(t *testing.T) {
	is := is.New(t)
	first := FreeAddress(t)
	nextPort.Add(-1) // like a process that tries the same port next
	is.True(FreeAddress(t) != first)
}
