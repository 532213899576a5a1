//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	at                       time.Time
	server, service          string
	id, method, path, digest string
	bytes                    int64
}

// observations collects what the servers saw.
type observations struct {
	mu   sync.Mutex
	runs map[string][]run // by request ID
}

func newObservations() *observations { return &observations{runs: map[string][]run{}} }

func (o *observations) add(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[r.id] = append(o.runs[r.id], r)
}

func (o *observations) of(id string) []run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]run(nil), o.runs[id]...)
}

// server stands in for a server of a service.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	seen                       *observations
	record                     *record
	// rejectAfter returns after how many bytes of the body a request is rejected, or a negative number.
	rejectAfter func() int64

	mu      sync.Mutex
	running int
}

// startServer lets a server listen on loopback.
func startServer(id, service, zone string, seen *observations, rec *record) (*server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), slots: 4, work: 40 * time.Millisecond, seen: seen, record: rec}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// entry is what the server writes about itself to the store.
func (s *server) entry(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":1780000000000,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":4,"warmup_left":"0ms"}}`,
		s.address, s.service, s.zone, s.slots, state)
}

// load adds n to the running requests and returns the value of the load header.
func (s *server) load(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	return fmt.Sprintf("%d,0,%d,100", s.running, s.slots)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Server-Load", s.load(0))
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.rejectAfter != nil && r.ContentLength != 0 {
		if after := s.rejectAfter(); after >= 0 {
			s.rejectEarly(w, r, id, after)
			return
		}
	}
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		s.record.add("server %s: body of %s ended early after %d bytes; not run", s.id, id, n)
		return
	}
	s.execute(w, r, id, n, sum)
}

const fullMessage = "the server is full\n"

// rejectEarly rejects a request before its body is in, keeps the connection and reads on.
func (s *server) rejectEarly(w http.ResponseWriter, r *http.Request, id string, after int64) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	n, _ := io.CopyN(io.Discard, r.Body, after)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(fullMessage)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, fullMessage)
	_ = control.Flush()
	s.record.add("server %s: rejects %s with 503 Not-Executed after %d bytes", s.id, id, n)
	_, _ = io.Copy(io.Discard, r.Body)
}

// execute runs a request whose body is in.
func (s *server) execute(w http.ResponseWriter, r *http.Request, id string, n int64, sum hash.Hash) {
	digest := hex.EncodeToString(sum.Sum(nil))
	s.load(1)
	s.seen.add(run{time.Now(), s.id, s.service, id, r.Method, r.URL.RequestURI(), digest, n})
	s.record.add("server %s (%s): runs %s %s %s with %d bytes, sha256 %.12s", s.id, s.service, id, r.Method, r.URL.RequestURI(), n, digest)
	time.Sleep(s.work)
	w.Header().Set("Server-Load", s.load(-1))
	w.Header().Set("Response-Signature", "signed."+s.id+"."+id)
	body := strings.Join([]string{s.service, s.id, id, digest}, " ") + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
