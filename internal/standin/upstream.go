package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// UpstreamConfig describes a stand-in upstream.
type UpstreamConfig struct {
	// ID is the upstream ID that answers contain.
	ID string
	// Slots is the number of requests that run concurrently; further ones wait.
	Slots int
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
	// ConnectionLimit is the allowed number of connections; zero means no limit. Connections above it are served and counted as violations.
	ConnectionLimit int
	// ConnectionCost is the additional service time of the first request on a connection.
	ConnectionCost time.Duration
	// ColdAllowance is the number of concurrent requests above which a cold upstream crashes. Zero means never cold.
	ColdAllowance int
	// ColdAnswers is the number of answers after which the cold allowance doubles.
	ColdAnswers int
	// RestartDelay is the time that the upstream is unreachable after a crash.
	RestartDelay time.Duration
	// IdentityHeader names the header whose value identifies a request in the counts of runs. Default Idempotency-Key.
	IdentityHeader string
}

// CrashHeader is the header of a request that crashes the upstream.
const CrashHeader = "Standin-Crash"

// UpstreamCounts holds the counters of a stand-in upstream.
type UpstreamCounts struct {
	Requests             uint64 `json:"requests"`
	InFlight             int    `json:"in_flight"`
	MaxInFlight          int    `json:"max_in_flight"`
	Cancelled            uint64 `json:"cancelled"`
	Starts               uint64 `json:"starts"`
	ColdViolations       uint64 `json:"cold_violations"`
	Connections          int    `json:"connections"`
	MaxConnections       int    `json:"max_connections"`
	ConnectionViolations uint64 `json:"connection_violations"`
	NewConnections       uint64 `json:"new_connections"`
}

// Upstream is a stand-in for an application server. It simulates cold starts, crashes and restarts:
// each start of the simulated process has its own start ID and context.
type Upstream struct {
	cfg   UpstreamConfig
	slots chan struct{}
	mux   *http.ServeMux

	mu         sync.Mutex
	faults     UpstreamFaults
	counts     UpstreamCounts
	runs       map[string]int
	start      string
	processCtx context.Context // cancelled by a crash
	endProcess context.CancelFunc
	downUntil  time.Time
	allowance  int // zero when warm
	answers    int
}

// NewUpstream returns an upstream stand-in.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	if cfg.IdentityHeader == "" {
		cfg.IdentityHeader = "Idempotency-Key"
	}
	if cfg.ColdAnswers == 0 {
		cfg.ColdAnswers = 8
	}
	u := &Upstream{cfg: cfg, slots: make(chan struct{}, max(cfg.Slots, 1)), mux: http.NewServeMux(), runs: map[string]int{}}
	u.startProcess()
	u.mux.HandleFunc("/", u.withSlot(u.serveOther))
	u.mux.HandleFunc("/bytes", u.withSlot(u.bytes))
	u.mux.HandleFunc("/upload", u.withSlot(u.upload))
	u.mux.HandleFunc("/echo", u.withSlot(u.echo))
	u.mux.HandleFunc("GET /health", u.health)
	u.mux.HandleFunc("GET /standin/runs", u.getRuns)
	u.mux.HandleFunc("GET /standin/counts", u.getCounts)
	u.mux.HandleFunc("GET /standin/faults", u.getFaults)
	u.mux.HandleFunc("PUT /standin/faults", u.putFaults)
	return u
}

// startProcess starts the simulated process. The caller holds mu, except in NewUpstream.
func (u *Upstream) startProcess() {
	var id [6]byte
	_, _ = rand.Read(id[:])
	u.start = hex.EncodeToString(id[:])
	u.processCtx, u.endProcess = context.WithCancel(context.Background())
	u.allowance, u.answers = u.cfg.ColdAllowance, 0
	u.counts.Starts++
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

type firstRequestKey struct{}

// ConnContext is the ConnContext hook of the http.Server; it lets the first request of a connection take ConnectionCost.
func (u *Upstream) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, firstRequestKey{}, new(sync.Once))
}

// ConnState is the ConnState hook of the http.Server; it counts connections.
func (u *Upstream) ConnState(_ net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.counts.NewConnections++
		u.counts.Connections++
		u.counts.MaxConnections = max(u.counts.MaxConnections, u.counts.Connections)
		if u.cfg.ConnectionLimit > 0 && u.counts.Connections > u.cfg.ConnectionLimit {
			u.counts.ConnectionViolations++
		}
	case http.StateClosed, http.StateHijacked:
		u.counts.Connections--
	}
}

// Counts returns the counters up to now.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Runs returns the number of runs of each request identity.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runs))
	for k, v := range u.runs {
		out[k] = v
	}
	return out
}

// loadHeader returns the value of the header Turmericsail-Load. The caller holds mu.
func (u *Upstream) loadHeader() string {
	state, inFlight := "ok", u.counts.InFlight
	switch {
	case u.faults.Misleading:
		inFlight = 0
	case u.faults.Drain:
		state = "draining"
	case u.allowance > 0:
		state = "cold"
	}
	return fmt.Sprintf("in_flight=%d,slots=%d,state=%s,start=%s", inFlight, u.cfg.Slots, state, u.start)
}

// admit counts an arriving request and applies the faults, the cold allowance and
// CrashHeader. It returns the context of the simulated process, the load header and
// how to handle the request.
func (u *Upstream) admit(r *http.Request) (processCtx context.Context, load string, v verdict) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restartIfDue()
	u.counts.Requests++
	if v = u.faults.verdict(); v != serve {
		return u.processCtx, u.loadHeader(), v
	}
	if time.Now().Before(u.downUntil) {
		return u.processCtx, "", abort
	}
	u.counts.InFlight++
	u.counts.MaxInFlight = max(u.counts.MaxInFlight, u.counts.InFlight)
	processCtx = u.processCtx
	if u.allowance > 0 && u.counts.InFlight > u.allowance {
		u.counts.ColdViolations++
		u.crash()
	} else if r.Header.Get(CrashHeader) != "" {
		u.crash()
	}
	return processCtx, u.loadHeader(), serve
}

// crash ends the simulated process and aborts every running request. The caller holds mu.
func (u *Upstream) crash() {
	u.endProcess()
	u.downUntil = time.Now().Add(u.cfg.RestartDelay)
}

// restartIfDue starts a new simulated process when the restart time after a crash is over. The caller holds mu.
func (u *Upstream) restartIfDue() {
	if u.processCtx.Err() != nil && !time.Now().Before(u.downUntil) {
		u.startProcess()
	}
}

func (u *Upstream) finish(answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.InFlight--
	if !answered {
		u.counts.Cancelled++
		return
	}
	if u.allowance == 0 || u.processCtx.Err() != nil {
		return
	}
	if u.answers++; u.answers%u.cfg.ColdAnswers == 0 {
		if u.allowance *= 2; u.allowance >= u.cfg.Slots {
			u.allowance = 0
		}
	}
}

// withSlot returns a handler that admits each request, waits for a free slot and the service time, and calls h.
func (u *Upstream) withSlot(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		processCtx, load, v := u.admit(r)
		if load != "" {
			w.Header().Set("Turmericsail-Load", load)
		}
		if v != serve {
			v.answer(w)
			return
		}
		answered := false
		defer func() { u.finish(answered) }()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(processCtx, cancel)()
		select {
		case u.slots <- struct{}{}:
			defer func() { <-u.slots }()
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		u.countRun(r)
		u.delay(ctx, r)
		if ctx.Err() == nil {
			h(w, r.WithContext(ctx))
		}
		if ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		answered = true
	}
}

func (u *Upstream) countRun(r *http.Request) {
	if id := r.Header.Get(u.cfg.IdentityHeader); id != "" {
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
	}
}

// delay waits for the service time, including the additions for faults and new connections.
func (u *Upstream) delay(ctx context.Context, r *http.Request) {
	u.mu.Lock()
	d := u.cfg.ServiceTime + time.Duration(u.faults.SlowMS)*time.Millisecond
	u.mu.Unlock()
	if once, ok := ctx.Value(firstRequestKey{}).(*sync.Once); ok {
		once.Do(func() { d += u.cfg.ConnectionCost })
	}
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
