package daemon

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/pkg/quarantine"
)

// lossCheckTime bounds the connect. A host whose process has ended refuses within a
// round trip; the longest one between regions is below it.
const lossCheckTime = 250 * time.Millisecond

// lossChecks finds out by one new connection whether an upstream that cut a
// request is gone. Without the check a single cut request waits for the next
// request of this instance to that upstream, which placement keeps away from it,
// and a repeat of the request may reach another upstream first.
type lossChecks struct {
	running sync.Map // quarantine.Upstream of the checks under way
}

// start checks the upstream in the background and calls lost if it is gone. Checks
// of one upstream do not run side by side.
func (c *lossChecks) start(u quarantine.Upstream, address string, lost func()) {
	if _, busy := c.running.LoadOrStore(u, struct{}{}); busy {
		return
	}
	go func() {
		defer c.running.Delete(u)
		if isGone(address) {
			lost()
		}
	}()
}

// isGone reports whether a new connection is refused. Silence and a connection that
// is closed say nothing: the path may be cut, and a server at its connection limit
// closes new ones.
func isGone(address string) bool {
	conn, err := net.DialTimeout("tcp", address, lossCheckTime)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
