// Package entry is the HTTP data path: it takes callers' requests, gets a permit
// for an upstream for each and streams both bodies.
//
// A request passes through the methods of exchange in order: match, admit,
// prepareBody, firstAnswer (which makes one or more attempts) and answer. An
// attempt owns one permit and one connection and gives both back in end. What can
// be proved about a failed attempt decides whether another one is allowed and
// what the caller is told: see attempt.classify and exchange.outcome.
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

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/tlsconf"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Snapshots gives the latest control snapshot.
type Snapshots interface {
	Snapshot() *control.Snapshot
}

// timing holds the limits on progress, which tests shorten.
type timing struct {
	body pacing
	// answerStall bounds the wait for the next bytes of an answer, and for the caller to take them.
	answerStall time.Duration
}

var defaultTiming = timing{body: bodyPacing, answerStall: 15 * time.Second}

// Entry serves callers.
type Entry struct {
	cfg       settings.Settings
	snapshots Snapshots
	ports     Ports
	proto     Protocol
	routine   int // verbosity of lines about good answers
	log       logr.Logger
	timing    timing
	metrics   *telemetry
	patience  *patience

	server  *http.Server
	inner   *http.Server // serves streams from entries outside the home regions
	streams *streamListener
	conns   *connPools
	relays  *relayDialer

	leaving atomic.Bool
	running atomic.Int64
}

var (
	_ kernel.Runner  = (*Entry)(nil)
	_ kernel.Stopper = (*Entry)(nil)
)

// headerSlack is how far above the limit a header may be to get a refusal with a
// body. Beyond it, net/http ends the connection with a plain 431.
const headerSlack = 64 << 10

// maxAnswerHeader bounds the header of an upstream's answer.
const maxAnswerHeader = 256 << 10

// maxStreams bounds the requests that one HTTP/2 connection of a caller may have open.
const maxStreams = 250

// New returns an entry that is not yet listening.
func New(cfg settings.Settings, snapshots Snapshots, ports Ports, log logr.Logger) *Entry {
	ports.setDefaults()
	e := &Entry{cfg: cfg, snapshots: snapshots, ports: ports, proto: *ports.Protocol, routine: ports.RoutineVerbosity, log: log, timing: defaultTiming, metrics: newTelemetry(), patience: newPatience()}
	e.conns = newConnPools(newDialer(maxAnswerHeader), cfg.Limits.MaxInstances)
	e.relays = newRelayDialer(maxAnswerHeader)
	e.streams = newStreamListener()
	e.server = e.newServer(false)
	e.server.Protocols = new(http.Protocols)
	e.server.Protocols.SetHTTP1(true)
	e.server.Protocols.SetHTTP2(true)
	e.server.Protocols.SetUnencryptedHTTP2(cfg.Callers.Plaintext)
	e.server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	e.server.ConnState = newIdleConns(func() time.Duration { return e.limits().IdleTimeout.Std() }).state
	e.inner = e.newServer(true)
	return e
}

// limits returns the limits in force: the operators' where they set one below the instance's own.
func (e *Entry) limits() settings.Limits {
	own, set := e.cfg.Limits, e.snapshots.Snapshot().Limits
	if set.HeaderBytes > 0 {
		own.HeaderBytes = min(own.HeaderBytes, set.HeaderBytes)
	}
	if set.BodyBytes > 0 {
		own.BodyBytes = min(own.BodyBytes, set.BodyBytes)
	}
	if set.IdleTimeout > 0 {
		own.IdleTimeout = min(own.IdleTimeout, set.IdleTimeout)
	}
	return own
}

func (e *Entry) newServer(relayed bool) *http.Server {
	router := echo.New()
	// Routes are in the tables, so every request is taken before echo's own router.
	router.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			e.serve(c.Response().Writer, c.Request(), relayed)
			return nil
		}
	})
	return &http.Server{
		Handler: router, ReadHeaderTimeout: e.cfg.Limits.HeaderTimeout.Std(), IdleTimeout: e.cfg.Limits.IdleTimeout.Std(),
		MaxHeaderBytes: int(e.cfg.Limits.HeaderBytes) + headerSlack, ErrorLog: quietLog(e.log),
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
		_ = e.server.Close()
		_ = e.inner.Close()
	})()
	go e.maintain(ctx)
	go func() { _ = e.inner.Serve(e.streams) }()
	if err := e.serveCallers(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func (e *Entry) serveCallers(l net.Listener) error {
	if e.cfg.Callers.TLS == nil {
		return e.server.Serve(l)
	}
	mode := tlsconf.CallersOnly
	if e.cfg.Callers.TLS.CA != "" {
		mode = tlsconf.Mutual
	}
	config, err := tlsconf.Server(*e.cfg.Callers.TLS, mode)
	if err != nil {
		return err
	}
	e.server.TLSConfig = config
	return e.server.ServeTLS(l, "", "")
}

// maintainInterval is how soon a change of the tables reaches the connection pools.
const maintainInterval = 500 * time.Millisecond

// maintain closes connections that are no longer needed.
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

// SetLeaving makes every answer ask its caller to use another connection. It is
// called at the start of the notice, while the instance still accepts requests.
func (e *Entry) SetLeaving() { e.leaving.Store(true) }

// Running returns the number of requests that are being served.
func (e *Entry) Running() int64 { return e.running.Load() }

// Shutdown stops accepting, closes idle connections and waits for running requests.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.SetLeaving()
	err := e.server.Shutdown(ctx)
	return errors.Join(err, e.inner.Shutdown(ctx))
}

// quietLog passes net/http's messages on at debug level: they quote callers' bytes.
func quietLog(logger logr.Logger) *log.Logger {
	return log.New(writerFunc(func(p []byte) (int, error) {
		logger.V(1).Info("connection of a caller failed")
		return len(p), nil
	}), "", 0)
}

type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
