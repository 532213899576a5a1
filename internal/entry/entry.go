// Package entry is the HTTP data path: it accepts requests from callers, acquires
// a permit for an upstream for each of them and streams both bodies.
//
// A request passes through the methods of exchange in order: match, admit,
// prepareBody, firstResponse (which makes one or more attempts) and sendResponse.
// An attempt owns one permit and one connection and releases both in end. Whether
// a failed attempt can be proved not to have run decides whether it may be retried
// and which outcome the caller gets: see attempt.classify and exchange.outcome.
package entry

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/labstack/echo/v4"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/tlsconf"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Snapshots returns the latest control snapshot.
type Snapshots interface {
	Snapshot() *control.Snapshot
}

// timing holds the progress limits of a request. Tests shorten them.
type timing struct {
	body progressLimits
	// responseStall bounds the wait for the next bytes of a response, and for the caller to read them.
	responseStall time.Duration
}

var defaultTiming = timing{body: bodyProgressLimits, responseStall: 15 * time.Second}

// Entry serves the requests of callers.
type Entry struct {
	cfg              settings.Settings
	snapshots        Snapshots
	ports            Ports
	proto            Protocol
	routineVerbosity int // log verbosity of successful requests
	log              logr.Logger
	timing           timing
	metrics          *telemetry
	deadlines        *deadlineHistory
	guard            *callers.Guard
	sections         *callers.Sections
	budget           *callers.Budget
	refusals         *callers.Budget // of requests that are refused because budget is in use

	server        *http.Server
	relayedServer *http.Server // serves streams relayed by entries outside the home regions
	http2         *http2Conns
	relayListener *streamListener
	conns         *connPools
	relayDialer   *relayDialer

	listener  atomic.Pointer[callers.Listener]
	onClosing func(callers.Closing)
	accepted  chan struct{} // closed when no more connections are accepted
	stopping  atomic.Bool   // the listener is closed, or will be
	leaving   atomic.Bool
	endsAt    atomic.Pointer[time.Time] // when the process ends while requests still run; nil if not known
	running   atomic.Int64
	relayed   atomic.Int64 // open streams of relayed requests
	ending    endingRequests
}

var (
	_ kernel.Runner  = (*Entry)(nil)
	_ kernel.Stopper = (*Entry)(nil)
)

// headerSlack is the number of bytes by which a request header may exceed its limit
// and net/http still reads it. On HTTP/2 it counts 32 bytes for each field besides its contents, so that a header of
// many short fields inside the limit needs the slack. On HTTP/1.1, sectionSlack is the lower one.
const headerSlack = 64 << 10

// maxResponseHeader bounds the header of an upstream's response, in bytes.
const maxResponseHeader = 256 << 10

// maxStreams bounds the concurrent requests on one HTTP/2 connection of a caller.
const maxStreams = 250

// New returns an entry that does not listen yet; see Run and Serve.
func New(cfg settings.Settings, snapshots Snapshots, ports Ports, log logr.Logger) *Entry {
	ports.setDefaults()
	e := &Entry{cfg: cfg, snapshots: snapshots, ports: ports, proto: *ports.Protocol, routineVerbosity: ports.RoutineVerbosity, log: log, timing: defaultTiming, metrics: newTelemetry(), deadlines: newDeadlineHistory()}
	instances := ports.Instances
	if instances == nil {
		instances = func() int { return cfg.Limits.MaxInstances }
	}
	e.conns = newConnPools(newDialer(maxResponseHeader), instances)
	e.relayDialer = newRelayDialer(maxResponseHeader)
	e.relayListener = newStreamListener()
	e.accepted = make(chan struct{})
	e.onClosing = e.connectionClosing
	e.server = e.newServer(false)
	e.server.Protocols = new(http.Protocols)
	e.server.Protocols.SetHTTP1(true)
	e.server.Protocols.SetHTTP2(true)
	e.server.Protocols.SetUnencryptedHTTP2(cfg.Callers.Plaintext)
	e.server.HTTP2 = http2Config(int64(cfg.Limits.Memory))
	e.http2 = newHTTP2Conns(e.server)
	e.guard = callers.NewGuard(callers.MaxConnections(descriptors(cfg.Limits)), e.connectionClosed)
	e.budget = callers.NewBudget(requestMemory(cfg.Limits))
	e.refusals = callers.NewBudget(e.budget.Limit() / refusalShare)
	e.sections = &callers.Sections{
		Budget: e.budget, Refuse: e.refuseSection, OnClose: e.connectionClosed,
		MaxBytes: func() int64 { return int64(e.limits().HeaderBytes) + sectionSlack },
		Timeout:  func() time.Duration { return e.limits().HeaderTimeout.Std() },
	}
	idle := newIdleConns(cfg.Limits.IdleTimeout.Std(), func() time.Duration { return e.limits().IdleTimeout.Std() }, e.idleClosed)
	e.server.ConnState = func(c net.Conn, s http.ConnState) {
		idle.connState(c, s)
		e.enterPhase(c, s)
		e.http2.connState(c, s)
	}
	e.server.ConnContext = connContext
	e.relayedServer = e.newServer(true)
	e.registerGauges()
	return e
}

// limits returns the limits in force: for each, the lower of the instance's own setting and
// the one that operators set in the tables.
func (e *Entry) limits() settings.Limits {
	own, set := e.cfg.Limits, e.snapshots.Snapshot().Limits
	if set.HeaderBytes > 0 {
		own.HeaderBytes = min(own.HeaderBytes, set.HeaderBytes)
	}
	if set.BodyBytes > 0 {
		own.BodyBytes = min(own.BodyBytes, set.BodyBytes)
	}
	if set.HeaderTimeout > 0 {
		own.HeaderTimeout = min(own.HeaderTimeout, set.HeaderTimeout)
	}
	if set.IdleTimeout > 0 {
		own.IdleTimeout = min(own.IdleTimeout, set.IdleTimeout)
	}
	return own
}

func (e *Entry) newServer(relayed bool) *http.Server {
	router := echo.New()
	// Routes come from the tables, so requests are handled before echo's own router.
	router.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			e.serve(c.Response().Writer, c.Request(), relayed)
			return nil
		}
	})
	return &http.Server{
		Handler: router, ReadHeaderTimeout: e.cfg.Limits.HeaderTimeout.Std(), IdleTimeout: e.cfg.Limits.IdleTimeout.Std(),
		MaxHeaderBytes: int(e.cfg.Limits.HeaderBytes) + headerSlack, ErrorLog: redactingLog(e.log),
	}
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", e.cfg.Callers.Listen)
	if err != nil {
		return err
	}
	return e.Serve(ctx, l)
}

// Serve serves callers on l until ctx ends.
func (e *Entry) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() {
		e.ending.abortResponses()
		_ = e.server.Close()
		_ = e.relayedServer.Close()
	})()
	go e.maintain(ctx)
	go func() { _ = e.relayedServer.Serve(e.relayListener) }()
	if err := e.serveCallers(l); !errors.Is(err, http.ErrServerClosed) && !e.stopping.Load() {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func (e *Entry) serveCallers(l net.Listener) error {
	own := &callers.Listener{Listener: l, Guard: e.guard, Sections: e.sections, Encrypted: e.cfg.Callers.TLS != nil, OnClosing: e.onClosing}
	defer close(e.accepted)
	if e.listener.Store(own); e.stopping.Load() {
		return own.Close()
	}
	if e.cfg.Callers.TLS == nil {
		return e.server.Serve(own)
	}
	mode := tlsconf.ServerOnly
	if e.cfg.Callers.TLS.CA != "" {
		mode = tlsconf.Mutual
	}
	config, err := tlsconf.Server(*e.cfg.Callers.TLS, mode)
	if err != nil {
		return err
	}
	e.server.TLSConfig = config
	return e.server.ServeTLS(own, "", "")
}

// maintainInterval is the maximum delay before a change of the tables is applied to the connection pools.
const maintainInterval = 500 * time.Millisecond

// maintain applies changes of the tables to the connection pools and closes idle connections.
func (e *Entry) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	var seen *table.Tables
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if t := e.snapshots.Snapshot().Tables; t != nil && t != seen {
				seen = t
				e.conns.apply(t)
			}
			e.conns.sweep(now)
		}
	}
}

// SetLeaving adds "Connection: close" to every response that begins from now on, so that callers open their
// next connection elsewhere. It is called when the shutdown notice period starts,
// while the instance still accepts requests.
func (e *Entry) SetLeaving() { e.leaving.Store(true) }

// SetEnd sets when the process ends at the latest, whatever still runs. Requests that may last longer are refused
// from now on, since their callers can still turn to other instances. Those that still wait, or of whose response nothing was
// sent, when the process is about to end are refused then.
func (e *Entry) SetEnd(at time.Time) {
	e.endsAt.Store(&at)
	e.ending.endAt(at.Add(-endMargin), at.Add(-runMargin))
}

const (
	// endMargin is kept between the last response and the end of the process, for the caller to receive it. It is longer than
	// runMargin, so that a request that was sent just before waits ended has time to be answered.
	endMargin = 500 * time.Millisecond
	// runMargin is kept for the refusals of requests at which an upstream is at work. Their work is lost, so it is shorter, but it
	// outlasts the delays of goroutines on a busy machine.
	runMargin = 300 * time.Millisecond
	// recordMargin is kept after the last write of an at-most-once record, before which no response is sent. It is a part of
	// runMargin.
	recordMargin = runMargin / 2
)

// endsBefore reports whether the process may end before the given time.
func (e *Entry) endsBefore(t time.Time) bool {
	end := e.endsAt.Load()
	return end != nil && t.After(end.Add(-endMargin))
}

// Listening reports whether callers can connect.
func (e *Entry) Listening() bool { return e.listener.Load() != nil }

// Running returns the number of requests in progress.
func (e *Entry) Running() int64 { return e.running.Load() }

// Shutdown stops accepting connections, closes idle ones and waits for running requests.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.SetLeaving()
	e.stopping.Store(true)
	if l := e.listener.Load(); l != nil {
		_ = l.Close() // a second Close fails
		select {
		case <-e.accepted:
		case <-ctx.Done():
		}
	}
	e.closeCallers(ctx)
	err := e.server.Shutdown(ctx)
	e.awaitRelayed(ctx)
	return errors.Join(err, e.relayedServer.Shutdown(ctx))
}

// awaitRelayed waits until the streams of relayed requests have ended. http.Server.Shutdown would drop a request that was read
// and not handled yet.
func (e *Entry) awaitRelayed(ctx context.Context) {
	tick := time.NewTicker(closeInterval)
	defer tick.Stop()
	for e.relayed.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const (
	// closeInterval is the time between two looks at the connections of callers while the instance leaves.
	closeInterval = 10 * time.Millisecond
	// newConnWait is the time for the first request on a new connection to arrive while the instance leaves. Then the close of
	// connections of HTTP/2 is announced.
	newConnWait = time.Second
)

// closeCallers closes connections as they become idle, until only those of HTTP/2 are left. http.Server.Shutdown would drop
// requests of HTTP/1.1 that were read and not handled yet, so it is called when there are none. Those that run may last until
// the process ends, so connections of HTTP/2 learn earlier that they end.
func (e *Entry) closeCallers(ctx context.Context) {
	tick := time.NewTicker(closeInterval)
	defer tick.Stop()
	phases := []callers.Phase{callers.PhaseIdle}
	for newClosed := time.After(newConnWait); ; {
		if e.guard.CloseQuiet(callers.ReasonLeaving, phases...) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-newClosed:
			phases = append(phases, callers.PhaseNew)
			e.http2.shutdown()
		case <-tick.C:
		}
	}
}

// redactingLog logs at debug level that net/http reported an error, without the
// error's text, which quotes bytes sent by callers.
func redactingLog(logger logr.Logger) *log.Logger {
	return log.New(writerFunc(func(p []byte) (int, error) {
		logger.V(1).Info("connection of a caller failed")
		return len(p), nil
	}), "", 0)
}

type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
