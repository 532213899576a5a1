package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is one server of a service. The path of a request ends with the milliseconds of its work.
type server struct {
	id, service, address string
	slots                int
	record               *record

	mu      sync.Mutex
	running int
	runs    map[string]int // by request ID
}

// startServer starts a server and registers it in the store.
func (d *deployment) startServer(id, service string, slots int) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: l.Addr().String(), slots: slots, record: d.record, runs: map[string]int{}}
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 10 * time.Second}).Serve(l) }()
	d.store.Put("servers/"+id, s.entry("ready"))
	return s, nil
}

func (s *server) entry(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"north-a","slots":%d},"status":{"state":%q,"sequence":4,"warmup_left":"0ms"}}`,
		s.address, time.Now().Add(-time.Minute).UnixMilli(), s.service, s.slots, state)
}

func (s *server) load(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	return s.running
}

// ran returns how often a request ran.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", s.load(0), s.slots))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		h.Set("Not-Executed", "1")
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.load(1) > s.slots {
		s.load(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.load(-1)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.record.line("run %s at %s", id, s.id)
	ms, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		s.record.line("run of %s at %s ends: its connection was closed", id, s.id)
		return
	}
	h.Set("Response-Signature", "signed-by-"+s.id)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", s.id, r.Method, r.URL.RequestURI(), body)
	s.record.line("answered %s at %s", id, s.id)
}
