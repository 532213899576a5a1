package entry

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

// Header names of the protocol between turmericsail, its callers and its upstreams.
const (
	// HeaderOutcome tells a caller whether its request may have run.
	HeaderOutcome = "Turmericsail-Outcome"
	// HeaderLoad carries an upstream's load report; it is not forwarded to callers.
	HeaderLoad = "Turmericsail-Load"
	// HeaderDepth is the depth of a request in a chain of calls; each entry adds one.
	HeaderDepth = retry.DepthHeader
	// HeaderDeadline is the time left until the start of the response, in milliseconds.
	// It is relative, so that clocks need not be synchronized.
	HeaderDeadline = "Turmericsail-Deadline"
	// HeaderRetryBudget is the number of retries that the caller of a nested call allows.
	HeaderRetryBudget = retry.BudgetHeader
	// HeaderWorkspace tells upstreams the workspace of a request.
	HeaderWorkspace = "Turmericsail-Workspace"
	// HeaderRelayedWorkspace names the workspace of a relayed request, whose key is not passed on. It is empty for a
	// request without a key. Only entries send it.
	HeaderRelayedWorkspace = "Turmericsail-Relayed-Workspace"
	// HeaderRequestID identifies a request in logs.
	HeaderRequestID = "X-Request-Id"
)

// viaName is the pseudonym of the entry in Via headers.
const viaName = "turmericsail"

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// forbiddenTrailers lists fields that must not be sent as trailers, because they control the framing,
// routing or processing of the message.
var forbiddenTrailers = map[string]bool{
	"Authorization": true, "Content-Encoding": true, "Content-Length": true, "Content-Range": true, "Content-Type": true,
	"Cookie": true, "Host": true, "Set-Cookie": true, HeaderOutcome: true, HeaderLoad: true,
}

// copyEndToEnd copies all headers but the hop-by-hop ones. The value slices are
// shared, so they must not be modified.
func copyEndToEnd(dst, src http.Header) {
	for name, values := range src {
		if !hopByHop[name] {
			dst[name] = values
		}
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				delete(dst, textproto.CanonicalMIMEHeaderKey(name))
			}
		}
	}
}

// trailerNames returns the announced trailers that may be forwarded.
func trailerNames(announced http.Header) http.Header {
	if len(announced) == 0 {
		return nil
	}
	out := make(http.Header, len(announced))
	for name := range announced {
		if !hopByHop[name] && !forbiddenTrailers[name] {
			out[name] = nil
		}
	}
	return out
}

// upstreamHeader returns the header of the request to the upstream.
func (x *exchange) upstreamHeader(relayed bool) http.Header {
	r := x.r
	h := make(http.Header, len(r.Header)+8)
	copyEndToEnd(h, r.Header)
	for _, name := range []string{x.e.proto.Outcome, x.e.proto.Load, x.e.proto.Deadline, HeaderDepth, HeaderRetryBudget, "Content-Length"} {
		delete(h, name)
	}
	x.setWorkspace(h)
	h[x.e.proto.RequestID] = x.headerValue(x.id)
	if acceptsTrailers(r.Header) {
		h["Te"] = []string{"trailers"}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	if x.e.proto.Plain {
		return h
	}
	if !relayed {
		x.setForwarded(h)
	}
	h["Via"] = x.appendValue(h["Via"], via(r.ProtoMajor, r.ProtoMinor))
	return h
}

func acceptsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		if strings.Contains(strings.ToLower(v), "trailers") {
			return true
		}
	}
	return false
}

// setForwarded sets the X-Forwarded-* headers to the caller's address, scheme and host.
func (x *exchange) setForwarded(h http.Header) {
	r := x.r
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if before := h["X-Forwarded-For"]; len(before) > 0 {
			host = strings.Join(before, ", ") + ", " + host
		}
		h["X-Forwarded-For"] = x.headerValue(host)
	}
	scheme := "http"
	if r.TLS != nil {
		scheme = "https"
	}
	h["X-Forwarded-Proto"] = x.headerValue(scheme)
	h["X-Forwarded-Host"] = x.headerValue(r.Host)
}

func via(major, minor int) string {
	switch {
	case major == 2:
		return "2.0 " + viaName
	case minor == 0:
		return "1.0 " + viaName
	}
	return "1.1 " + viaName
}

// appendValue returns values with v appended. It never writes into the array of values,
// which another header may share.
func (x *exchange) appendValue(values []string, v string) []string {
	if len(values) == 0 {
		return x.headerValue(v)
	}
	out := make([]string, 0, len(values)+1)
	return append(append(out, values...), v)
}

// callerHeader fills dst, the header of the response to the caller, from the upstream's response.
func (x *exchange) callerHeader(dst http.Header, resp *http.Response) {
	copyEndToEnd(dst, resp.Header)
	if !x.e.proto.KeepLoad {
		delete(dst, x.e.proto.Load)
	}
	if !x.e.proto.Plain {
		dst["Via"] = x.appendValue(dst["Via"], via(resp.ProtoMajor, resp.ProtoMinor))
	}
	dst[x.e.proto.RequestID] = x.headerValue(x.id)
	for name := range trailerNames(resp.Trailer) {
		dst.Add("Trailer", name)
	}
}

// requestID returns the caller's request ID, or a new one if there is none.
func requestID(id string) string {
	if id != "" {
		return id
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// headerSize returns the size in bytes of the request line and header in HTTP/1.1 format.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n ")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// headerLines returns the number of header lines as received, without continuation lines.
func headerLines(r *http.Request) int64 {
	n := 2 // the request line and Host
	for _, values := range r.Header {
		n += len(values)
	}
	return int64(n)
}
