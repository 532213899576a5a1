package entry

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// outcome returns the outcome to report with a refusal. A request with an identity may
// be the repeat of one that ran, so NotRun requires that this exchange was granted the
// claim and released it.
func (x *exchange) outcome() Outcome {
	if x.maybeRan.Load() {
		return Unknown
	}
	if x.identity != "" {
		if x.claimReleased {
			return NotRun
		}
		return Unknown
	}
	if x.route.Name == "" && !methodIsIdempotent(x.r.Method) {
		return Unknown // without a route, the identity header is unknown
	}
	return NotRun
}

func methodIsIdempotent(method string) bool {
	var r table.Route
	return r.IsIdempotent(method)
}

// callerLeft is logged for attempts and requests that ended because their caller disconnected.
const callerLeft = "the caller left"

// refuse sends the refusal to the caller.
func (x *exchange) refuse(f *Refusal) {
	f.Outcome = x.outcome()
	x.report.refusal, x.report.outcome, x.report.status = f.Kind, string(f.Outcome), f.Status
	if f.Cause != nil {
		x.report.cause = f.Cause.Error()
	}
	if x.callerGone() {
		x.report.aborted, x.report.cause = true, callerLeft // the caller is gone
		return
	}
	f.Close = f.Close || x.e.leaving.Load() || (x.r.ProtoMajor == 1 && x.bodyUnread())
	x.forbid1xx() // first, because forward1xx also writes to the header
	x.w.Header()[x.e.proto.RequestID] = []string{x.id}
	if !f.Close {
		x.announceIdle(x.w.Header())
	}
	f.write(x.w, &x.e.proto)
}

// callerGone reports whether the caller has disconnected. The request's context is also
// cancelled when a read of the body was interrupted; the caller is then still connected.
func (x *exchange) callerGone() bool {
	return x.r.Context().Err() != nil && (x.body == nil || !x.body.progress.interrupted.Load())
}

// bodyUnread reports whether the request has a body that was not received to its end. The caller's connection cannot be
// reused then.
func (x *exchange) bodyUnread() bool {
	return x.r.ContentLength != 0 && (x.body == nil || !x.body.complete())
}

// finishResponse tells the connection that the response is complete. The connection ends with it if the request has a body that
// was not read to its end: net/http would wait for the rest without a limit, and panics if it then reads the next request.
// callers.Conn discards the rest, and a stream of another entry is never reset.
func (x *exchange) finishResponse() {
	if x.r.ProtoMajor != 1 {
		return
	}
	unread := x.bodyUnread()
	last := unread || x.r.Close || x.w.Header().Get("Connection") == "close"
	if x.conn != nil {
		x.conn.FinishResponse(unread, last)
	} else if unread {
		_ = x.control.SetReadDeadline(time.Now().Add(relayedBodyTime))
	}
}

// relayedBodyTime bounds how long net/http reads the rest of a relayed body after the response.
const relayedBodyTime = time.Second

func (x *exchange) forbid1xx() {
	x.mu.Lock()
	x.no1xx = true
	x.mu.Unlock()
}
