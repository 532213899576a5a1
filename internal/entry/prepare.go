package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var digestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 512); return &b }}

// digest hashes fields with their lengths, so that different lists of fields never give the same input.
func digest(fields ...string) [32]byte {
	buf := digestBuffers.Get().(*[]byte)
	b := (*buf)[:0]
	for _, f := range fields {
		b = strconv.AppendInt(b, int64(len(f)), 10)
		b = append(b, ':')
		b = append(b, f...)
	}
	sum := sha256.Sum256(b)
	*buf = b[:0]
	digestBuffers.Put(buf)
	return sum
}

// hasBody reports whether the request may have a body.
func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// openBody makes the body readable for attempts; keep bounds the bytes kept for another attempt.
func (x *exchange) openBody(keep int) {
	if !hasBody(x.r) {
		return
	}
	if n := x.r.ContentLength; n > 0 && n < int64(keep) {
		keep = int(n) + 1 // with one more byte, a read reaches the end of the body
	}
	interrupt := func() { _ = x.control.SetReadDeadline(time.Unix(1, 0)) }
	x.body = newRequestBody(x.r.Body, x.bodyLimit(), keep, x.r.Trailer, newProgressMonitor(x.e.timing.body, interrupt))
	// Otherwise net/http reads the rest of the body before it writes the response.
	_ = x.control.EnableFullDuplex()
}

// prepareBody reads a short body before an upstream is picked, so that a slow
// caller does not occupy a slot, and computes the fingerprint. The start of another body is read only if upstreams
// were lost under such requests.
func (x *exchange) prepareBody() *Refusal {
	if x.body == nil {
		x.fingerprint = x.computeFingerprint("")
		return nil
	}
	waits := strings.EqualFold(x.r.Header.Get("Expect"), "100-continue")
	if waits || x.r.ContentLength < 0 || x.r.ContentLength > replayLimit {
		if x.identity != "" {
			x.fingerprint = x.computeFingerprint("")
			return nil
		}
		x.headFingerprint = x.computeFingerprint("")
		if !x.e.ports.Quarantine.Suspected(&x.route, x.headFingerprint) {
			return nil
		}
	}
	if _, err := x.body.fill(); err != nil {
		return x.bodyRefusal(err)
	}
	x.fingerprint = x.bodyFingerprint()
	return nil
}

// bodyFingerprint returns the fingerprint of a request whose body has been read, or as much of it as is kept. It is
// zero if less was read.
func (x *exchange) bodyFingerprint() Fingerprint {
	start, complete, enough := x.body.start()
	switch {
	case !enough:
		return Fingerprint{}
	case complete:
		return x.computeFingerprint(start)
	}
	return x.computeFingerprint(start + " of " + strconv.FormatInt(x.r.ContentLength, 10))
}

// bodyRefusal returns the refusal for a failure to read the caller's body.
func (x *exchange) bodyRefusal(err error) *Refusal {
	switch {
	case x.pastDeadline():
		return refuseDeadline()
	case errors.Is(err, errBodyTooLarge):
		return refuseBody(x.bodyLimit())
	case errors.Is(err, errBodySlow), err == nil && x.body.interrupted():
		return refuseSlowBody()
	}
	return refuseIncompleteBody()
}

// computeFingerprint returns the identification of the request for quarantine: what the upstream sees of it that the
// caller repeats. The route is not part of it, since an operator may change the route of a request. A body
// that is too large to be read before sending is left out, which is only safe for a
// request with an identity: otherwise all uploads to a path would share a fingerprint.
func (x *exchange) computeFingerprint(body string) Fingerprint {
	sum := digest(x.workspace, x.r.Method, x.r.Host, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.identity, body)
	return Fingerprint(sum[:16])
}

// claimDigest returns the digest that detects the use of one identity for two different requests.
func (x *exchange) claimDigest() [32]byte {
	return digest(x.r.Method, x.r.Host, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.r.Header.Get("Content-Type"), strconv.FormatInt(x.r.ContentLength, 10))
}

// drain reads a body up to its end, if less than drainLimit bytes are left, and reports whether the
// connection can be reused. The error is that of the body.
func drain(r io.Reader) (whole bool, err error) {
	n, err := io.CopyN(io.Discard, r, drainLimit)
	if err == io.EOF {
		return n < drainLimit, nil
	}
	return false, err
}

// drainLimit bounds the bytes read from a discarded body.
const drainLimit = 4 << 10
