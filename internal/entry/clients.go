package entry

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/settings"
)

// descriptors returns the number of descriptors that the instance may open.
func descriptors(limits settings.Limits) int {
	own := callers.SystemDescriptors()
	if limits.Descriptors > 0 {
		own = min(own, limits.Descriptors)
	}
	return own
}

// callerConn returns the connection that the guard admitted, or nil.
func callerConn(c net.Conn) *callers.Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*callers.Conn)
	return conn
}

// enterPhase tells the guard what a connection is doing; it is a ConnState hook of http.Server.
func enterPhase(c net.Conn, s http.ConnState) {
	conn := callerConn(c)
	if conn == nil {
		return
	}
	switch s {
	case http.StateActive:
		conn.Enter(callers.PhaseActive)
	case http.StateIdle:
		conn.Enter(callers.PhaseIdle)
	}
}
