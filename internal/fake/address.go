package fake

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Addresses of tests lie between firstPort and the range that the system gives to
// outgoing connections, which begins at 32,768, so that none of those takes one
// before the start of a process or between two starts.
const (
	firstPort = 12_000
	ports     = 20_000
	// stride is the distance between the first ports of two test processes. Random
	// ports of test processes that ran side by side met at times.
	stride = 97
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address for a process that a test starts. Test
// processes that run side by side, whose IDs differ by little, draw from distinct ports.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range ports {
		port := firstPort + (int64(os.Getpid())*stride+nextPort.Add(1))%ports
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
