package fake

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports of test addresses are below the ephemeral port range of the system,
// which begins at 32,768. Otherwise an outgoing connection could take a port before
// a process listens on it, or between the exit and the restart of a process.
const (
	// firstPort is the lowest port of a test address.
	firstPort = 12_000
	// portCount is the number of ports for test addresses.
	portCount = 20_000
	// portStride is the distance between the first ports of two test processes with
	// consecutive process IDs. Randomly selected ports of test processes that run in
	// parallel collided occasionally.
	portStride = 97
)

// nextPort counts the ports that this test process has tried.
var nextPort atomic.Int64

// FreeAddress returns a loopback address with a free port for a process that a test
// starts. Test processes that run in parallel usually have close process IDs and
// therefore use distinct ranges of ports.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portStride+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port for a test address")
	return ""
}
