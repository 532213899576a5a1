package quarantine

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// checkTimeout bounds the connection attempt. A host whose process has ended refuses
	// the connection within one round trip, and the longest round trip between regions is
	// shorter than this.
	checkTimeout = 250 * time.Millisecond
	// recheckDelay is the time until the second connection attempt. A process that ends may close its
	// connections before its listener.
	recheckDelay = 100 * time.Millisecond
)

// Checks opens up to two new connections to an upstream that cut a request, to check whether
// its process is gone. Without the check, the loss would be confirmed only by the next
// request of this instance to that upstream. Placement avoids that upstream, so a repeat of
// the cut request could reach another upstream first.
type Checks struct {
	running sync.Map // set of Upstream with a running check
}

// Start checks the upstream in the background and calls lost if it is gone. At most one
// check of an upstream runs at a time.
func (c *Checks) Start(u Upstream, address string, lost func()) {
	if _, busy := c.running.LoadOrStore(u, struct{}{}); busy {
		return
	}
	go func() {
		defer c.running.Delete(u)
		if isGone(address) {
			lost()
			return
		}
		time.Sleep(recheckDelay)
		if isGone(address) {
			lost()
		}
	}()
}

// isGone reports whether a new connection is refused. A time-out or a closed connection
// does not show a loss: the network path may be interrupted, and a server at its connection
// limit closes new connections.
func isGone(address string) bool {
	conn, err := net.DialTimeout("tcp", address, checkTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
