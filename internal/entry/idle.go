package entry

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// announcedShare is the part of the idle timeout that callers are told: four fifths. A request that is sent within it
	// arrives before the connection is closed.
	announcedShare = 0.8
	// minAnnounced is the shortest idle time that the Keep-Alive header can tell.
	minAnnounced = time.Second
)

// announceIdle tells an HTTP/1 caller for how long it may reuse the connection (RFC 2068, section 19.7.1).
func (x *exchange) announceIdle(h http.Header) {
	if x.r.ProtoMajor != 1 || x.r.Close || h.Get("Connection") != "" {
		return
	}
	limit := x.e.limits().IdleTimeout.Std()
	told := time.Duration(float64(limit) * announcedShare)
	if told < minAnnounced {
		limit = 0
	} else {
		h["Keep-Alive"] = x.headerValue("timeout=" + strconv.Itoa(int(told/time.Second)))
	}
	if x.conn != nil {
		x.conn.KeepIdle(limit)
	}
}

// idleConns closes callers' connections that are idle for longer than the limit in
// force. The idle timeout of http.Server is fixed at the start, while operators can
// change the limit in the tables. Connections of HTTP/2 are left to http.Server while its limit is in force. If the limit in
// force is lower, their close is announced with GOAWAY.
type idleConns struct {
	own   time.Duration // the limit of http.Server
	limit func() time.Duration
	// closed is called after a connection was closed that had been idle for longer than the limit.
	closed func(c net.Conn, idle, limit time.Duration)
	mu     sync.Mutex
	idle   map[net.Conn]*idleTimer
}

type idleTimer struct {
	*time.Timer
	since time.Time
}

func newIdleConns(own time.Duration, limit func() time.Duration, closed func(c net.Conn, idle, limit time.Duration)) *idleConns {
	return &idleConns{own: own, limit: limit, closed: closed, idle: map[net.Conn]*idleTimer{}}
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
		if conn := callerConn(c); conn != nil {
			limit = max(limit, conn.KeptIdle()) // operators may have lowered the limit since the caller was told
		}
		t := &idleTimer{since: time.Now()}
		t.Timer = time.AfterFunc(limit, func() {
			if idle, limit, ok := i.expired(c, t); ok {
				if conn := callerConn(c); conn == nil || !conn.IsHTTP2() {
					_ = c.Close() // the connection cannot be used after a failed Close either
				}
				i.closed(c, idle, limit)
			}
		})
		i.idle[c] = t
	}
}

// expired reports whether the connection must be closed now, or its close was announced, for how long it has been idle, and the
// limit. Otherwise the timer runs on: the limit may have become longer, or a request may be arriving.
func (i *idleConns) expired(c net.Conn, t *idleTimer) (idle, limit time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	limit = i.limit()
	if i.idle[c] != t || limit <= 0 { // without a limit here, that of http.Server applies
		return 0, limit, false
	}
	idle = time.Since(t.since)
	left := limit - idle
	if left <= 0 {
		conn := callerConn(c)
		switch {
		case conn == nil:
			return idle, limit, true
		case conn.IsHTTP2():
			if limit < i.own && conn.AnnounceIdle() {
				return idle, limit, true
			}
		case conn.RetireIdle():
			return idle, limit, true
		}
		left = limit
	}
	t.Reset(left)
	return idle, limit, false
}
