package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
func (e *Entry) enterPhase(c net.Conn, s http.ConnState) {
	conn := callerConn(c)
	if conn == nil {
		return
	}
	switch s {
	case http.StateActive:
		if conn.IsNew() && isHTTP2(c, conn) {
			conn.SetHTTP2(e.http2.announcer(c))
		}
		conn.Enter(callers.PhaseActive)
	case http.StateIdle:
		conn.Enter(callers.PhaseIdle)
	}
}

// isHTTP2 reports whether a connection that carries its first request is one of HTTP/2.
func isHTTP2(c net.Conn, conn *callers.Conn) bool {
	if t, ok := c.(*tls.Conn); ok {
		return t.ConnectionState().NegotiatedProtocol == http2Protocol
	}
	return conn.IsHTTP2()
}

// http2Protocol is the ALPN name of HTTP/2 (RFC 9113, section 3.1).
const http2Protocol = "h2"

// connectionClosed counts a connection that was closed because of a limit of all callers together. It is logged at debug
// level, since clients decide how often it happens.
func (e *Entry) connectionClosed(reason string) {
	e.metrics.closedConnections(reason)
	e.log.V(1).Info("connection of a caller closed", "reason", reason)
}

// idleClosed logs the close of an idle connection. The caller's address tells which of its requests crossed the close.
func (e *Entry) idleClosed(c net.Conn, idle, limit time.Duration) {
	e.log.V(1).Info("idle connection of a caller closed", "caller", c.RemoteAddr().String(), "idle", idle.String(), "limit", limit.String())
}

// connectionClosing records a connection that is closed with bytes of a request that got no answer. An unread connection
// may have had its response; clients decide how often that happens.
func (e *Entry) connectionClosing(c callers.Closing) {
	if c.Reason == callers.ReasonIdle {
		e.metrics.closedConnections(c.Reason)
	}
	if c.Unanswered {
		e.metrics.unansweredConnections(c.Reason)
		e.log.Info("connection of a caller closed with a request that was not answered", "reason", c.Reason)
	}
	if c.Unread {
		e.metrics.unreadConnections(c.Reason)
		e.log.V(1).Info("connection of a caller closed with unread bytes", "reason", c.Reason)
	}
}

// sectionSlack is the number of bytes by which a header section of HTTP/1.1 may exceed its limit and still be read to its
// end, so that the caller gets the refusal after it has sent everything. Beyond it, the refusal is sent at once.
const sectionSlack = 16 << 10

// requestMemory returns the memory in bytes that all requests may take together. It has room for two of the most
// expensive header sections inside the limit, so that a single request is served on any machine.
func requestMemory(limits settings.Limits) int64 {
	memory := int64(limits.Memory)
	if memory == 0 {
		memory = callers.SystemMemory()
	}
	return max(callers.MemoryBudget(memory), 2*callers.LargestSectionCost(int64(limits.HeaderBytes)))
}

// rawResponse collects the refusal of a header section that net/http has not read to its end.
type rawResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*rawResponse)(nil)

// Header implements http.ResponseWriter.
func (w *rawResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *rawResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *rawResponse) Write(p []byte) (int, error) { return w.body.Write(p) }

// refuseSection refuses a header section that net/http has not parsed.
func (e *Entry) refuseSection(c net.Conn, reason string) {
	f := refuseMemory()
	if reason == callers.ReasonHeader {
		f = refuseHeader(int64(e.limits().HeaderBytes))
	}
	f.Outcome = Unknown // method and identity are not known, and the request may repeat one that ran
	w := &rawResponse{header: http.Header{}}
	f.write(w, &e.proto)
	e.metrics.refusals(f.Kind).Inc()
	resp := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body),
	}
	_ = resp.Write(c) // the connection is closed either way
}

// CallerUse returns how near the instance is to the limits of all its callers together.
func (e *Entry) CallerUse() callers.Use {
	u := callers.Use{MemoryBytes: e.budget.Used(), MemoryLimitBytes: e.budget.Limit()}
	u.Connections, u.ConnectionLimit = e.guard.Connections()
	return u
}

// registerGauges publishes CallerUse as metrics.
func (e *Entry) registerGauges() {
	for name, value := range map[string]func(callers.Use) float64{
		"turmericsail_caller_connections":        func(u callers.Use) float64 { return float64(u.Connections) },
		"turmericsail_caller_connections_limit":  func(u callers.Use) float64 { return float64(u.ConnectionLimit) },
		"turmericsail_caller_memory_bytes":       func(u callers.Use) float64 { return float64(u.MemoryBytes) },
		"turmericsail_caller_memory_bytes_limit": func(u callers.Use) float64 { return float64(u.MemoryLimitBytes) },
	} {
		metrics.GetOrCreateGauge(fmt.Sprintf("%s{instance=%q}", name, e.cfg.Instance), func() float64 { return value(e.CallerUse()) })
	}
}

// callerConnKey is the context key of a request's *callers.Conn.
type callerConnKey struct{}

// connContext is the ConnContext hook of the callers' server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(countRequests(ctx, c), callerConnKey{}, callerConn(c))
}

// requestCost is the memory in bytes of a request besides its header section, body and answer: 15,000 HTTP/2 streams
// that waited for their bodies took 16 KiB each.
const requestCost = 16 << 10

// refusalShare is the part of requestMemory that refusals may take besides it: a quarter. It lets callers have refusals
// while requests use all memory; beyond it, the stream or connection is closed.
const refusalShare = 4

// reserve reserves the memory of the request, or refuses it. It answers many requests, each inside its limits, whose
// headers and bodies together do not fit. That of the header section is reserved already on HTTP/1.1.
func (x *exchange) reserve() *Refusal {
	cost := callers.SectionCost(headerSize(x.r), headerLines(x.r))
	if x.conn != nil {
		cost -= x.conn.Trim(cost)
	}
	cost += requestCost
	if hasBody(x.r) && !x.needsRelay {
		cost += replayLimit + aheadSize
		if n := x.r.ContentLength; n > 0 && n < replayLimit {
			cost += n - replayLimit - aheadSize
		}
	}
	if x.e.budget.Take(cost) {
		x.reserved, x.reservedFrom = cost, x.e.budget
		return nil
	}
	if x.e.refusals.Take(requestCost) {
		x.reserved, x.reservedFrom = requestCost, x.e.refusals
	} else {
		x.report.aborted = true // callers do not read their refusals
		x.e.connectionClosed(callers.ReasonMemory)
	}
	return refuseMemory()
}

// bufferShare is the part of requestMemory that may be in use for an answer to be buffered still: a half. Slow readers
// of buffered answers would otherwise leave no memory for other requests.
const bufferShare = 2

// reserveBuffer reserves memory for a part of an answer and reports success.
func (x *exchange) reserveBuffer(n int64) bool {
	if !x.e.budget.TakeUpTo(n, x.e.budget.Limit()/bufferShare) {
		return false
	}
	x.reserved += n
	return true
}

// releaseBuffer returns memory that reserveBuffer reserved.
func (x *exchange) releaseBuffer(n int64) {
	x.reserved -= n
	x.e.budget.Give(n)
}

// releaseMemory returns what the request has reserved.
func (x *exchange) releaseMemory() {
	if x.reservedFrom != nil {
		x.reservedFrom.Give(x.reserved)
	}
}

// http2Config bounds what one HTTP/2 connection holds. A frame is read into a buffer of its own size, which would be
// up to 1 MiB for each connection. A connection whose caller reads nothing is closed. With limits.memory set, the buffers of unread bodies and the number of streams are
// in proportion to it; a window of 136 KiB still allows 17 MB/s at a round trip of 8 ms.
func http2Config(memory int64) *http.HTTP2Config {
	c := &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReadFrameSize: 16 << 10, WriteByteTimeout: defaultTiming.responseStall}
	if memory > 0 {
		c.MaxConcurrentStreams = int(min(max(memory>>20, minStreams), maxStreams))
		window := int(min(max(memory>>10, minWindow), maxWindow))
		c.MaxReceiveBufferPerConnection, c.MaxReceiveBufferPerStream = window, window
	}
	return c
}

const (
	// minStreams is the number of concurrent requests on a connection that RFC 9113 recommends at least.
	minStreams = 100
	// minWindow and maxWindow bound the receive buffers of an HTTP/2 connection, in bytes.
	minWindow = 64 << 10
	maxWindow = 1 << 20
)
