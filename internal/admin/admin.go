// Package admin serves health checks, metrics, status and profiles to operators and
// monitoring on a listener separate from callers' traffic.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/schema"
	"github.com/turmericsail/turmericsail/internal/settings"
)

// Server is the HTTP server of the admin listener.
type Server struct {
	cfg     settings.Admin
	router  *echo.Echo
	leaving atomic.Bool
	ready   func() bool
	status  func() any
	callers atomic.Pointer[func() callers.Use]
}

// SetCallers sets the source of how near the instance is to the limits of its callers. Until then, status omits it.
func (s *Server) SetCallers(use func() callers.Use) { s.callers.Store(&use) }

// Callers returns how near the instance is to the limits of its callers, or nil if it is not known.
func (s *Server) Callers() *callers.Use {
	use := s.callers.Load()
	if use == nil {
		return nil
	}
	u := (*use)()
	return &u
}

// New returns a server. ready reports whether the instance can serve requests; status returns the body of /status.
func New(cfg settings.Admin, ready func() bool, status func() any) *Server {
	s := &Server{cfg: cfg, router: echo.New(), ready: ready, status: status}
	s.router.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.router.GET("/readyz", s.readyz)
	s.router.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	s.router.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.status()) })
	s.router.GET("/schema/:name", serveSchema)
	if cfg.Pprof {
		s.addPprof()
	}
	return s
}

func serveSchema(c echo.Context) error {
	data, err := schema.For(c.Param("name"))
	if err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return c.Blob(http.StatusOK, "application/schema+json", data)
}

func (s *Server) addPprof() {
	s.router.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	s.router.GET("/debug/pprof/cmdline", echo.WrapHandler(http.HandlerFunc(pprof.Cmdline)))
	s.router.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	s.router.GET("/debug/pprof/symbol", echo.WrapHandler(http.HandlerFunc(pprof.Symbol)))
	s.router.GET("/debug/pprof/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
}

func (s *Server) readyz(c echo.Context) error {
	switch {
	case s.leaving.Load():
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	case !s.ready():
		return c.String(http.StatusServiceUnavailable, "no tables, no view of the region or no listener for callers yet\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// Leaving reports whether the instance is leaving.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// SetLeaving makes /readyz report that the instance is leaving.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// drainTime bounds the wait for running requests at the end of the process.
const drainTime = 100 * time.Millisecond

// Run serves until ctx ends, and then waits for running requests.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	return s.serve(ctx, l)
}

func (s *Server) serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.router}
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
		defer cancel()
		if server.Shutdown(drain) != nil { // requests still run, such as profiles
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-drained
	return ctx.Err()
}
