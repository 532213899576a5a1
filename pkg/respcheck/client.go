package respcheck

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// defaultTransport is http.DefaultTransport with connections that tell a reset from an orderly end.
var defaultTransport = newDefaultTransport()

func newDefaultTransport() http.RoundTripper {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport // replaced by the program
	}
	t := base.Clone()
	t.DialContext = Dial(t.DialContext)
	return t
}

// Client returns a client like c that gets an error in place of a malformed response.
func (s Source) Client(c *http.Client) *http.Client {
	checked := *c
	if checked.Transport == nil {
		checked.Transport = defaultTransport
	}
	checked.Transport = s.Transport(checked.Transport)
	return &checked
}

// Transport returns a round tripper that returns an error in place of a malformed response and closes the connection of one.
func (s Source) Transport(base http.RoundTripper) http.RoundTripper { return transport{s, base} }

// transport is the round tripper of a reader that leaves its connections to net/http.
type transport struct {
	source Source
	base   http.RoundTripper
}

var _ http.RoundTripper = transport{}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	// net/http puts the connection of a response without a body back into its pool before it returns the response, and takes
	// no closed connection from there.
	discard := func() {
		if conn != nil {
			_ = conn.Close()
		}
	}
	return t.source.roundTrip(t.base, req.WithContext(httptrace.WithClientTrace(req.Context(), trace)), nil, discard)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
