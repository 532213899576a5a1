package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// http2Conns serves each connection of HTTP/2 by a server of its own. net/http can announce the close of all connections of a
// server only, with Shutdown.
type http2Conns struct {
	stopping atomic.Bool

	mu      sync.Mutex
	servers map[net.Conn]*http.Server
}

// newHTTP2Conns returns the connections of a server, whose Shutdown reaches all of them.
func newHTTP2Conns(s *http.Server) *http2Conns {
	h := &http2Conns{servers: map[net.Conn]*http.Server{}}
	s.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){
		http2Protocol: func(s *http.Server, c *tls.Conn, handler http.Handler) {
			h.serve(s, c, http2Protocol, c, handler)
		},
		unencryptedHTTP2: func(s *http.Server, c *tls.Conn, handler http.Handler) {
			if u, ok := c.NetConn().(interface{ UnencryptedNetConn() net.Conn }); ok {
				h.serve(s, u.UnencryptedNetConn(), unencryptedHTTP2, c, handler)
			}
		},
	}
	s.RegisterOnShutdown(h.shutdown)
	return h
}

// unencryptedHTTP2 is the key in http.Server.TLSNextProto for connections of HTTP/2 in plain text.
const unencryptedHTTP2 = "unencrypted_http2"

// serve serves c with the settings of s. passed is the connection as net/http passes it.
func (h *http2Conns) serve(s *http.Server, c net.Conn, protocol string, passed *tls.Conn, handler http.Handler) {
	own := &http.Server{IdleTimeout: s.IdleTimeout, Protocols: s.Protocols}
	_ = own.Serve(closedListener{}) // sets TLSNextProto
	next := own.TLSNextProto[protocol]
	if next == nil { // HTTP/2 is disabled with GODEBUG
		return
	}
	h.mu.Lock()
	h.servers[c] = own
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.servers, c)
	}()
	next(s, passed, handler)
}

// announcer returns a function that makes net/http send GOAWAY on a connection and close it after its last response.
func (h *http2Conns) announcer(c net.Conn) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.servers[c]
	if own == nil {
		return nil
	}
	return func() { announce(own) }
}

// announce does not wait for the connection, which own has not accepted itself.
func announce(own *http.Server) { _ = own.Shutdown(context.Background()) }

// shutdown announces the close of all connections, including those that begin to be served later. It may be called more than once.
func (h *http2Conns) shutdown() {
	h.stopping.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, own := range h.servers {
		announce(own)
	}
}

// connState announces the close of a connection that net/http began to serve during shutdown; it is a ConnState hook of
// http.Server.
func (h *http2Conns) connState(c net.Conn, s http.ConnState) {
	if s != http.StateIdle || !h.stopping.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if own := h.servers[c]; own != nil {
		announce(own)
	}
}

// closedListener is a listener that accepts no connection.
type closedListener struct{}

var _ net.Listener = closedListener{}

// Accept implements net.Listener.
func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Close implements net.Listener.
func (closedListener) Close() error { return nil }

// Addr implements net.Listener.
func (closedListener) Addr() net.Addr { return &net.TCPAddr{} }
