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

// Header names of the protocol between turmericsail and its neighbours.
const (
	// HeaderOutcome tells a caller whether its request may have run.
	HeaderOutcome = "Turmericsail-Outcome"
	// HeaderLoad carries an upstream's load report; it is not passed to callers.
	HeaderLoad = "Turmericsail-Load"
	// HeaderDepth counts the calls above a request; each entry adds one.
	HeaderDepth = retry.DepthHeader
	// HeaderDeadline is the time left for the start of the answer, in milliseconds.
	// It is relative, so that clocks need not agree.
	HeaderDeadline = "Turmericsail-Deadline"
	// HeaderRetryBudget is the number of retries that the caller of an inner call grants.
	HeaderRetryBudget = retry.BudgetHeader
	// HeaderRequestID names a request in logs.
	HeaderRequestID = "X-Request-Id"
)

// viaName is how the entry names itself in Via.
const viaName = "turmericsail"

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// forbiddenTrailers must not be merged into a message after its body: they frame, route or control it.
var forbiddenTrailers = map[string]bool{
	"Authorization": true, "Content-Encoding": true, "Content-Length": true, "Content-Range": true, "Content-Type": true,
	"Cookie": true, "Host": true, "Set-Cookie": true, HeaderOutcome: true, HeaderLoad: true,
}

// copyEndToEnd copies the headers that are not bound to one connection. Values
// are shared; neither side changes them.
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

// trailerNames returns the announced trailers that may be passed on.
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

// upstreamHeader builds the header of the request to the upstream.
func (x *exchange) upstreamHeader(relayed bool) http.Header {
	r := x.r
	h := make(http.Header, len(r.Header)+8)
	copyEndToEnd(h, r.Header)
	for _, name := range []string{x.e.proto.Outcome, x.e.proto.Load, x.e.proto.Deadline, HeaderDepth, HeaderRetryBudget, "Content-Length"} {
		delete(h, name)
	}
	h[x.e.proto.RequestID] = x.value(x.id)
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
		x.forwarded(h)
	}
	h["Via"] = x.appended(h["Via"], via(r.ProtoMajor, r.ProtoMinor))
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

// forwarded adds the caller's address, scheme and host.
func (x *exchange) forwarded(h http.Header) {
	r := x.r
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if before := h["X-Forwarded-For"]; len(before) > 0 {
			host = strings.Join(before, ", ") + ", " + host
		}
		h["X-Forwarded-For"] = x.value(host)
	}
	scheme := "http"
	if r.TLS != nil {
		scheme = "https"
	}
	h["X-Forwarded-Proto"] = x.value(scheme)
	h["X-Forwarded-Host"] = x.value(r.Host)
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

// appended never writes into the array of values, which another header may share.
func (x *exchange) appended(values []string, v string) []string {
	if len(values) == 0 {
		return x.value(v)
	}
	out := make([]string, 0, len(values)+1)
	return append(append(out, values...), v)
}

// callerHeader copies the header of an upstream's answer to the caller's.
func (x *exchange) callerHeader(dst http.Header, resp *http.Response) {
	copyEndToEnd(dst, resp.Header)
	if !x.e.proto.KeepLoad {
		delete(dst, x.e.proto.Load)
	}
	if !x.e.proto.Plain {
		dst["Via"] = x.appended(dst["Via"], via(resp.ProtoMajor, resp.ProtoMinor))
	}
	dst[x.e.proto.RequestID] = x.value(x.id)
	for name := range trailerNames(resp.Trailer) {
		dst.Add("Trailer", name)
	}
}

const maxRequestID = 128

// requestID returns the caller's request ID if it is printable and short, or a new one.
func requestID(id string) string {
	if id != "" && len(id) <= maxRequestID && isToken(id) {
		return id
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func isToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// headerSize is the size of a request's head as HTTP/1.1 would write it.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n ")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}
