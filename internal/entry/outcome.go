package entry

import (
	"github.com/turmericsail/turmericsail/pkg/table"
)

// outcome is what may be said truthfully when no answer can be given. A request
// with an identity may be the repeat of one that ran, so not-run needs the
// exchange's own claim, granted and released.
func (x *exchange) outcome() Outcome {
	if x.maybeRan.Load() {
		return Unknown
	}
	if x.identity != "" {
		if x.released {
			return NotRun
		}
		return Unknown
	}
	if x.route.Name == "" && !methodIsIdempotent(x.r.Method) {
		return Unknown // without a route the identity header is not known
	}
	return NotRun
}

func methodIsIdempotent(method string) bool {
	var r table.Route
	return r.IsIdempotent(method)
}

// callerLeft is logged for attempts and requests that ended because their caller went away.
const callerLeft = "the caller left"

// refuse answers the caller in place of an upstream.
func (x *exchange) refuse(f *Refusal) {
	f.Outcome = x.outcome()
	x.report.refusal, x.report.outcome, x.report.status = f.Kind, string(f.Outcome), f.Status
	if f.Cause != nil {
		x.report.cause = f.Cause.Error()
	}
	if x.callerGone() {
		x.report.abort, x.report.cause = true, callerLeft // nobody is left to read it
		return
	}
	f.Close = f.Close || (x.r.ProtoMajor == 1 && x.r.ContentLength != 0 && !x.bodyDone())
	x.forbid1xx() // before the header is touched, which a 1xx answer writes too
	x.w.Header()[x.e.proto.RequestID] = []string{x.id}
	f.write(x.w, &x.e.proto)
}

// callerGone reports whether the caller's connection has ended. The context also
// ends when a read of the body was interrupted; then the caller still listens.
func (x *exchange) callerGone() bool {
	return x.r.Context().Err() != nil && (x.body == nil || !x.body.pace.fired.Load())
}

// bodyDone reports whether the caller's connection can carry another request.
func (x *exchange) bodyDone() bool { return x.body != nil && x.body.complete() }

func (x *exchange) forbid1xx() {
	x.mu.Lock()
	x.informed = true
	x.mu.Unlock()
}
