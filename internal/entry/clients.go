package entry

import (
	"bytes"
	"crypto/tls"
	"io"
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

// refuseSection refuses a header section that is larger than its limit.
func (e *Entry) refuseSection(c net.Conn) {
	f := refuseHeader(int64(e.limits().HeaderBytes))
	f.Outcome = NotRun
	w := &rawResponse{header: http.Header{}}
	f.write(w, &e.proto)
	e.metrics.refusals(f.Kind).Inc()
	resp := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body),
	}
	_ = resp.Write(c) // the connection is closed either way
}
