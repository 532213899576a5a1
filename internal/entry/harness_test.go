package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// TestMain silences the standard logger, to which net/http writes unexpected bytes from upstreams.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fixedTables is a Snapshots whose tables the test sets.
type fixedTables struct {
	current atomic.Pointer[control.Snapshot]
}

func (f *fixedTables) Snapshot() *control.Snapshot { return f.current.Load() }

func (f *fixedTables) set(t *table.Tables) { f.current.Store(&control.Snapshot{Tables: t}) }

// harness is an entry in front of upstreams on loopback.
type harness struct {
	t      testing.TB
	entry  *Entry
	tables *fixedTables
	url    string
	addr   string
	client *http.Client
	pool   table.Pool
	routes []table.Route
	// workspaces is empty in most tests.
	workspaces []table.Workspace
}

type option func(*settings.Settings, *Ports, *Entry)

func withPorts(set func(*Ports)) option {
	return func(_ *settings.Settings, p *Ports, _ *Entry) {
		if p != nil {
			set(p)
		}
	}
}

func withSettings(set func(*settings.Settings)) option {
	return func(s *settings.Settings, _ *Ports, _ *Entry) {
		if s != nil {
			set(s)
		}
	}
}

func withTiming(set func(*timing)) option {
	return func(_ *settings.Settings, _ *Ports, e *Entry) {
		if e != nil {
			set(&e.timing)
		}
	}
}

func testSettings() settings.Settings {
	return settings.Settings{
		Instance: "e1", Region: "north", FailureDomain: "n1", Callers: settings.Listener{Plaintext: true},
		Limits: settings.Limits{HeaderBytes: 8 << 10, BodyBytes: 4 << 30, HeaderTimeout: table.Duration(5 * time.Second), IdleTimeout: table.Duration(time.Minute), MaxInstances: 1},
	}
}

// testRoute is the route of most tests.
func testRoute() table.Route {
	return table.Route{Name: "all", Pool: "work", Match: table.Match{PathPrefix: "/"}, Deadline: table.Duration(10 * time.Second), IdentityHeader: "Idempotency-Key"}
}

// newHarness starts an entry in front of the upstream addresses.
func newHarness(t testing.TB, route table.Route, addresses []string, options ...option) *harness {
	t.Helper()
	cfg, ports := testSettings(), Ports{}
	for _, o := range options {
		o(&cfg, &ports, nil)
	}
	h := &harness{t: t, tables: &fixedTables{}, routes: []table.Route{route}}
	h.pool = table.Pool{Name: "work", Slots: 64, Connections: 64}
	for i, a := range addresses {
		h.pool.Upstreams = append(h.pool.Upstreams, table.Upstream{ID: fmt.Sprintf("u%d", i+1), Address: a, Region: "north", FailureDomain: "n1"})
	}
	h.apply()
	h.entry = New(cfg, h.tables, ports, logr.Discard())
	for _, o := range options {
		o(nil, nil, h.entry)
	}
	l := listen(t)
	h.addr, h.url = l.Addr().String(), "http://"+l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = h.entry.Serve(ctx, l); close(done) }()
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	h.client = &http.Client{Transport: transport, Timeout: time.Minute}
	t.Cleanup(func() { transport.CloseIdleConnections(); cancel(); <-done })
	return h
}

func (h *harness) apply() {
	h.tables.set(table.NewTables(1, h.routes, []table.Pool{h.pool}).WithWorkspaces(h.workspaces))
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serveUpstream serves a handler on loopback and returns its address. The hooks are called before that of the handler.
func serveUpstream(t testing.TB, handler http.Handler, hooks ...func(net.Conn, http.ConnState)) string {
	t.Helper()
	l := listen(t)
	server := &http.Server{Handler: handler}
	if u, ok := handler.(*standin.Upstream); ok {
		hooks = append(hooks, u.ConnState)
		server.ConnContext = u.ConnContext
	}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		for _, hook := range hooks {
			hook(c, s)
		}
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// rawUpstream runs a script for each connection; conns counts the connections.
type rawUpstream struct {
	addr  string
	conns atomic.Int64
}

func newRawUpstream(t testing.TB, script func(n int64, c net.Conn)) *rawUpstream {
	t.Helper()
	l := listen(t)
	u := &rawUpstream{addr: l.Addr().String()}
	var wg sync.WaitGroup
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := u.conns.Add(1)
			wg.Go(func() { defer c.Close(); script(n, c) })
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return u
}

// closedAddress returns an address without a listener, which nothing else can take during the test.
func closedAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (h *harness) do(method, path string, body io.Reader, header ...string) reply {
	h.t.Helper()
	req, err := http.NewRequest(method, h.url+path, body)
	if err != nil {
		h.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

func (r reply) outcome() string { return r.header.Get(HeaderOutcome) }

// inOrder picks the first upstream of the pool that is not excluded.
type inOrder struct{}

func (inOrder) Acquire(_ context.Context, r AcquireRequest) (Permit, error) {
	for _, u := range r.Pool.Upstreams {
		if !slices.Contains(r.Exclude, u.ID) {
			return &countedPermit{u, new(atomic.Int64)}, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "no upstream left", "add an upstream")
}

func digestOf(size int) string {
	sum := sha256.Sum256(bytes.Repeat([]byte("x"), size))
	return hex.EncodeToString(sum[:])
}
