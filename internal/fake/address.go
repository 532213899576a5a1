package fake

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/gofrs/flock"
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
	// consecutive process IDs, so that most need not skip ports that another one has reserved.
	portStride = 97
)

// nextPort counts the ports that this test process has tried.
var nextPort atomic.Int64

// FreeAddress returns a loopback address with a free port for a process that a test
// starts. Until the test ends, no other test gets the port, in any process: it is also
// reserved before the process listens and while it restarts.
func FreeAddress(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(os.TempDir(), "turmericsail-test-ports")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portStride+nextPort.Add(1))%portCount
		lock := flock.New(filepath.Join(dir, strconv.FormatInt(port, 10)))
		if locked, err := lock.TryLock(); err != nil {
			t.Fatal(err)
		} else if !locked {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			t.Cleanup(func() { _ = lock.Unlock() })
			return address
		}
		_ = lock.Unlock()
	}
	t.Fatal("no free port for a test address")
	return ""
}
