package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxWorkspaces bounds the workspaces with their own time series. Workspace names come
// from a header, so callers could otherwise create an unbounded number of series.
const maxWorkspaces = 100

// otherWorkspaces is the label value for workspaces in excess of maxWorkspaces.
const otherWorkspaces = "other"

type seriesKey struct{ route, workspace, class string }

// telemetry holds the metrics of the data path. Existing series are looked up without a lock.
type telemetry struct {
	mu         sync.Mutex
	requests   atomic.Pointer[map[seriesKey]*metrics.Histogram]
	workspaces atomic.Pointer[map[string]bool]
	counters   sync.Map // name to *metrics.Counter
}

func newTelemetry() *telemetry {
	t := &telemetry{}
	t.requests.Store(&map[seriesKey]*metrics.Histogram{})
	t.workspaces.Store(&map[string]bool{})
	return t
}

// duration returns the request duration histogram of a route, workspace and class.
func (t *telemetry) duration(route, workspace, class string) *metrics.Histogram {
	if workspace != "" && !t.admitWorkspace(workspace) {
		workspace = otherWorkspaces
	}
	key := seriesKey{route, workspace, class}
	if h := (*t.requests.Load())[key]; h != nil {
		return h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := metrics.GetOrCreateHistogram(fmt.Sprintf("turmericsail_request_duration_seconds{route=%q,tenant=%q,class=%q}", route, workspace, class))
	t.requests.Store(copyWith(*t.requests.Load(), key, h))
	return h
}

// admitWorkspace reports whether the workspace has its own series. The first maxWorkspaces workspaces do.
func (t *telemetry) admitWorkspace(workspace string) bool {
	if (*t.workspaces.Load())[workspace] {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	names := *t.workspaces.Load()
	if !names[workspace] && len(names) >= maxWorkspaces {
		return false
	}
	t.workspaces.Store(copyWith(names, workspace, true))
	return true
}

func copyWith[K comparable, V any](m map[K]V, key K, value V) *map[K]V {
	out := make(map[K]V, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	out[key] = value
	return &out
}

func (t *telemetry) counter(format, label string) *metrics.Counter {
	type key struct{ format, label string }
	k := key{format, label}
	if c, ok := t.counters.Load(k); ok {
		return c.(*metrics.Counter)
	}
	c := metrics.GetOrCreateCounter(fmt.Sprintf(format, label))
	t.counters.Store(k, c)
	return c
}

func (t *telemetry) refusals(kind string) *metrics.Counter {
	return t.counter("turmericsail_refusals_total{kind=%q}", kind)
}

// keyRefusals counts requests that were refused for their API key.
func (t *telemetry) keyRefusals(reason string) *metrics.Counter {
	return t.counter("turmericsail_key_refusals_total{reason=%q}", reason)
}

func (t *telemetry) retries(pool string) *metrics.Counter {
	return t.counter("turmericsail_retries_total{pool=%q}", pool)
}

func (t *telemetry) hedges(pool string) *metrics.Counter {
	return t.counter("turmericsail_hedges_total{pool=%q}", pool)
}

func (t *telemetry) hedgeWins(pool string) *metrics.Counter {
	return t.counter("turmericsail_hedge_wins_total{pool=%q}", pool)
}

func (t *telemetry) resumes(pool string) *metrics.Counter {
	return t.counter("turmericsail_resumes_total{pool=%q}", pool)
}

// closedConnections counts connections of callers that were closed because of a limit of all callers together, or because
// they were idle.
func (t *telemetry) closedConnections(reason string) {
	t.counter("turmericsail_connections_closed_total{reason=%q}", reason).Inc()
}

// unansweredConnections counts connections of callers that were closed with a request that no handler had seen.
func (t *telemetry) unansweredConnections(reason string) {
	t.counter("turmericsail_unanswered_connections_total{reason=%q}", reason).Inc()
}

// unreadConnections counts connections of callers that were closed with unread bytes, which resets them.
func (t *telemetry) unreadConnections(reason string) {
	t.counter("turmericsail_unread_connections_total{reason=%q}", reason).Inc()
}

// aborts counts responses that were aborted after their header was sent.
func (t *telemetry) aborts(route string) *metrics.Counter {
	return t.counter("turmericsail_aborted_answers_total{route=%q}", route)
}

// panics counts requests that ended by a defect of this instance.
func (t *telemetry) panics(route string) *metrics.Counter {
	return t.counter("turmericsail_request_panics_total{route=%q}", route)
}

func (t *telemetry) regionBytes(to string) *metrics.Counter {
	return t.counter("turmericsail_region_bytes_total{to=%q}", to)
}

// countCrossRegion counts body bytes exchanged with an upstream or entry in another region.
func (e *Entry) countCrossRegion(region string, up, down int64) {
	if region != "" && region != e.cfg.Region && up+down > 0 {
		e.metrics.regionBytes(region).Add(int(up + down))
	}
}

// record updates the metrics and writes the request log. An entry outside the home
// regions counts requests by route name only and logs nothing.
func (x *exchange) record() {
	took := time.Since(x.start)
	m := x.e.metrics
	switch {
	case x.needsRelay:
		m.duration(x.route.Name, "", "").Update(took.Seconds())
	case x.route.Name != "":
		m.duration(x.route.Name, x.workspace, string(x.route.Class)).Update(took.Seconds())
	}
	if x.report.refusal != "" {
		m.refusals(x.report.refusal).Inc()
	}
	if x.report.aborted && x.report.refusal == "" {
		m.aborts(x.route.Name).Inc()
	}
	if x.e.cfg.Log.Requests && !x.needsRelay {
		x.logRequest(took)
	}
}

// logAttempt logs an attempt when its response header or an error arrived.
func (x *exchange) logAttempt(a *attempt) {
	if !x.e.cfg.Log.Requests || x.needsRelay {
		return
	}
	status, reason := 0, ""
	if a.resp != nil {
		status = a.resp.StatusCode
	}
	switch {
	case errors.Is(a.err, context.Canceled) && x.callerGone():
		reason = callerLeft
	case a.err != nil:
		reason = a.err.Error()
	}
	log := x.e.log
	if status >= 200 && status < 300 {
		log = log.V(x.e.routineVerbosity)
	}
	fingerprint := ""
	if reason != "" && x.fingerprint != (Fingerprint{}) {
		fingerprint = x.fingerprint.Short()
	}
	log.Info("attempt", "request", x.id, "route", x.route.Name, "pool", x.pool.Name, "upstream", a.upstream.ID, "address", a.upstream.Address,
		"reused", a.conn.reused, "sent", a.sent, "status", status, "took", time.Since(a.sentAt).String(), "error", reason, "fingerprint", fingerprint)
}

func (x *exchange) logRequest(took time.Duration) {
	x.mu.Lock()
	attempts := x.report.attempts
	x.mu.Unlock()
	log := x.e.log
	if x.report.refusal == "" && !x.report.aborted && x.report.status < 300 {
		log = log.V(x.e.routineVerbosity)
	}
	log.Info("request", "request", x.id, "tenant", x.workspace, "route", x.route.Name, "upstream", x.report.upstream,
		"status", x.report.status, "outcome", x.report.outcome, "refusal", x.report.refusal, "cause", x.report.cause, "aborted", x.report.aborted,
		"attempts", attempts, "duration", took.String(), "bytes_up", x.report.bytesUp, "bytes_down", x.report.bytesDown)
}
