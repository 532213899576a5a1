package fake

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// FreeAddress returns a loopback address for a process that a test starts. It lies
// below the range that the system gives to outgoing connections, so that none of
// them takes it before the start or between two starts.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(20_000))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
