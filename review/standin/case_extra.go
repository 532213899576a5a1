//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// extraTime is how long orders are sent.
	extraTime = 95 * time.Second
	// extraOrders is the number of orders that are sent to an instance at the same moment, and extraOrderGap the time until the
	// next ones are sent to the next instance.
	extraOrders   = 16
	extraOrderGap = 25 * time.Millisecond
	// extraWork is how long an order takes.
	extraWork = 15 * time.Millisecond
	// extraShare is the share of the answers of a garbling server after which it sends a second one.
	extraShare = 0.03
	// extraSpell is how long servers send second answers, and extraPause the time until they do so again.
	extraSpell = 5 * time.Second
	extraPause = time.Second
	// extraIllTime is how long a server says that it is ill, though it is well, before the next one does.
	extraIllTime = 100 * time.Millisecond
	// extraServers is the number of servers, and extraGarbling of those that send second answers.
	extraServers, extraGarbling = 4, 2
)

// wireServer is a server that writes its answers itself, so that it can send a second one.
type wireServer struct {
	*server
	garbles atomic.Bool
	ill     atomic.Bool
}

// startWireServer lets a server listen on loopback.
func startWireServer(id, service, zone string, seen *observations, rec *record) (*wireServer, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &wireServer{server: &server{id: id, service: service, zone: zone, address: l.Addr().String(), slots: 6, work: extraWork, seen: seen, record: rec}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// serve answers the requests of a connection. The second answer to one of them is sent at the point where the next one is
// expected.
func (s *wireServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	second := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if second != "" {
			s.record.add("server %s: second answer %.30q", s.id, second)
			if _, err := io.WriteString(c, second); err != nil {
				return
			}
			second = ""
		}
		answer := s.answer(r, string(body))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if s.garbles.Load() && rand.Float64() < extraShare {
			second = answer
		}
	}
}

// answer answers a health check, or runs an order.
func (s *wireServer) answer(r *http.Request, body string) string {
	if r.URL.Path == "/health" {
		status := "200 OK"
		if s.ill.Load() {
			status = "503 Service Unavailable"
		}
		return fmt.Sprintf("HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", status, s.id, s.load(0))
	}
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, s.id)
	}
	s.load(1)
	s.seen.add(run{time.Now(), s.id, s.service, id, r.Method, r.URL.RequestURI(), "", int64(len(body))})
	s.record.add("server %s: runs %s", s.id, id)
	time.Sleep(s.work)
	load := s.load(-1)
	text := "done " + id + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed.%s.%s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, load, len(text), text)
}

// runExtraCase sends orders while one server after the other says that it is ill. With trouble, some servers send some
// answers twice. Counted are orders that were answered with 503 and ran.
func runExtraCase(d *deployment, trouble bool) (int, error) {
	seen := newObservations()
	var servers []*wireServer
	for n := range extraServers {
		s, err := startWireServer(fmt.Sprintf("i-new-%d", n), "new", []string{"north-a", "north-b", "central-a", "central-b"}[n], seen, d.record)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
		d.store.write("servers/"+s.id, s.entry("ready"))
	}
	d.store.write("op/config", stormConfig(3, 0, "new"))
	if err := d.addInstances([]place{{"north-a", "north"}, {"north-b", "north"}, {"central-a", "central"}}); err != nil {
		return 0, err
	}
	end := time.Now().Add(extraTime)
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			s := servers[n%len(servers)]
			d.record.add("server %s says that it is ill for %s", s.id, extraIllTime)
			s.ill.Store(true)
			time.Sleep(extraIllTime)
			s.ill.Store(false)
		}
	}()
	go func() {
		for trouble && time.Now().Before(end) {
			for _, on := range []bool{true, false} {
				for _, s := range servers[:extraGarbling] {
					s.garbles.Store(on)
				}
				d.record.add("%d servers answer twice at times: %t", extraGarbling, on)
				time.Sleep(map[bool]time.Duration{true: extraSpell, false: extraPause}[on])
			}
		}
	}()
	var broken atomic.Int64
	var running sync.WaitGroup
	for n, tick := 0, time.NewTicker(extraOrderGap); time.Now().Before(end); n++ {
		<-tick.C
		for order := range extraOrders {
			running.Go(func() {
				if d.refusedAndRan(d.instances[n%len(d.instances)], seen, fmt.Sprintf("extra-%05d-%d", n, order)) {
					broken.Add(1)
				}
			})
		}
	}
	running.Wait()
	return int(broken.Load()), nil
}

// refusedAndRan sends one order on its own connection and reports whether it was answered with 503 and ran.
func (d *deployment) refusedAndRan(i *instance, seen *observations, id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/orders/7", strings.NewReader("order "+id))
	if err != nil {
		return false
	}
	req.Host = "app.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "4000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.record.add("%s sent to %s: %v", id, i.name, err)
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	d.record.add("%s sent to %s: %d", id, i.name, resp.StatusCode)
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	time.Sleep(time.Second) // it may run later
	runs := seen.of(id)
	if len(runs) == 0 {
		return false
	}
	d.record.add("%s was answered with 503 and ran at %s", id, runs[0].server)
	return true
}
