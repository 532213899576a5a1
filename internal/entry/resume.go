package entry

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// resumption fetches the rest of an interrupted response with a range request. It
// requires a known length and a strong validator, which guarantee that the parts
// belong to the same representation.
type resumption struct {
	x             *exchange
	etag          string
	first         int64 // offset of the first byte of the response in the representation
	last          int64 // offset of its last byte
	total         int64
	emptyAttempts int
}

// maxEmptyAttempts bounds consecutive attempts that yield no bytes.
const maxEmptyAttempts = 3

// newResumption returns nil if the response cannot be resumed.
func newResumption(x *exchange, a *attempt) *resumption {
	resp := a.resp
	if x.r.Method != http.MethodGet || x.needsRelay || x.identity != "" || x.body != nil || !x.route.IsIdempotent(x.r.Method) {
		return nil
	}
	etag := resp.Header.Get("Etag")
	if !strings.HasPrefix(etag, `"`) || resp.ContentLength <= 0 || resp.Uncompressed || len(resp.Trailer) > 0 {
		return nil
	}
	r := &resumption{x: x, etag: etag}
	switch resp.StatusCode {
	case http.StatusOK:
		if resp.Header.Get("Accept-Ranges") != "bytes" {
			return nil
		}
		r.last, r.total = resp.ContentLength-1, resp.ContentLength
	case http.StatusPartialContent:
		var ok bool
		if r.first, r.last, r.total, ok = contentRange(resp.Header.Get("Content-Range")); !ok || r.last-r.first+1 != resp.ContentLength {
			return nil
		}
	default:
		return nil
	}
	return r
}

// contentRange parses "bytes first-last/total".
func contentRange(v string) (first, last, total int64, ok bool) {
	rest, found := strings.CutPrefix(v, "bytes ")
	span, size, found2 := strings.Cut(rest, "/")
	from, to, found3 := strings.Cut(span, "-")
	if !found || !found2 || !found3 {
		return 0, 0, 0, false
	}
	var errs [3]error
	first, errs[0] = strconv.ParseInt(from, 10, 64)
	last, errs[1] = strconv.ParseInt(to, 10, 64)
	total, errs[2] = strconv.ParseInt(size, 10, 64)
	ok = errs[0] == nil && errs[1] == nil && errs[2] == nil && first >= 0 && first <= last && last < total
	return first, last, total, ok
}

// next returns an attempt whose response continues after the written bytes, or nil.
func (r *resumption) next(failed *attempt, written int64) *attempt {
	if r == nil || written > r.last-r.first {
		return nil
	}
	if failed.bytesDown > 0 {
		r.emptyAttempts = 0
	}
	for r.emptyAttempts < maxEmptyAttempts && r.x.r.Context().Err() == nil && !r.x.pastResponseDeadline() {
		r.emptyAttempts++
		a := r.attempt(failed, r.first+written)
		if a.fail == failNone && r.isMissingRange(a, r.first+written) {
			r.x.e.metrics.resumes(r.x.pool.Name).Inc()
			return a
		}
		if a.fail == failPlacement {
			return nil
		}
		a.discardFailure()
		if a.resp != nil {
			a.discardResponse(EndCancelled)
		}
		failed = a
	}
	return nil
}

// attempt requests the rest from another upstream. Only the upstream that just failed
// is excluded, because in a long download each upstream may fail once.
func (r *resumption) attempt(failed *attempt, from int64) *attempt {
	x := r.x
	header := maps.Clone(x.header)
	header["Range"] = []string{fmt.Sprintf("bytes=%d-%d", from, r.last)}
	header["If-Range"] = []string{r.etag}
	x.mu.Lock()
	x.tried = []string{failed.upstream.ID}
	x.mu.Unlock()
	x.watch(phaseReading)
	return x.newAttempt(header, time.Now().Add(x.route.Deadline.Std())).run(false)
}

// isMissingRange reports whether the response is exactly the missing range.
func (r *resumption) isMissingRange(a *attempt, from int64) bool {
	resp := a.resp
	first, last, total, ok := contentRange(resp.Header.Get("Content-Range"))
	return resp.StatusCode == http.StatusPartialContent && ok && first == from && last == r.last && total == r.total &&
		resp.Header.Get("Etag") == r.etag && resp.ContentLength == last-first+1
}
