package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that are idle for longer than the limit in
// force. The idle timeout of http.Server is fixed at the start, while operators can
// change the limit in the tables.
type idleConns struct {
	limit func() time.Duration
	mu    sync.Mutex
	idle  map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, idle: map[net.Conn]*time.Timer{}}
}

// connState starts and stops the idle timer of a connection; it is a ConnState hook of http.Server.
func (i *idleConns) connState(c net.Conn, s http.ConnState) {
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
		i.idle[c] = time.AfterFunc(limit, func() { closeIdle(c) })
	}
}

// closeIdle closes a connection that has been idle for too long. It cannot be used after a failed Close either.
func closeIdle(c net.Conn) {
	if conn := callerConn(c); conn != nil {
		_ = conn.CloseIdle()
	}
	_ = c.Close()
}
