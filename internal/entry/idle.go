package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that stay idle for longer than the limit
// in force. net/http's own limit is fixed at the start, while operators change
// theirs in the tables.
type idleConns struct {
	limit func() time.Duration
	mu    sync.Mutex
	idle  map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, idle: map[net.Conn]*time.Timer{}}
}

// state follows the state of a caller's connection; it is a ConnState hook.
func (i *idleConns) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.idle[c]; t != nil {
		t.Stop()
		delete(i.idle, c)
	}
	if s != http.StateIdle {
		return
	}
	if limit := i.limit(); limit > 0 {
		i.idle[c] = time.AfterFunc(limit, func() { _ = c.Close() }) // the caller sees the end in any case
	}
}
