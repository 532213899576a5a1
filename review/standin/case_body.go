//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// bodyCaseTime is how long clients send requests.
	bodyCaseTime = 60 * time.Second
	// bodyServers is the number of servers, of which bodyFaulty reject long requests early: a share of .33.
	bodyServers, bodyFaulty = 6, 2
	// rejectShare is the share of the long requests that a faulty server rejects early.
	rejectShare = 0.02
	// longBody is the length of a client's body in bytes.
	longBody = 200_000
	// pieceSize and pieceInterval make a client send at 128 Mbit/s.
	pieceSize     = 16_000
	pieceInterval = time.Millisecond
)

const bodyCaseConfig = `{"version":3,"base_version":0,"resources":[
{"type":"routes","metadata":{"name":"r-assign"},"spec":{"host":"a.example","path_prefix":"/assign/","kind":"unsafe","timeout":"2s","target_latency":"500ms","priority":1,"service":"dispatch","max_attempts":2,"allowed_regions":[]}},
{"type":"services","metadata":{"name":"dispatch"},"spec":{"health_path":"/health","max_conns":260,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":7.0}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`

// pacedBody sends a body in pieces; its type hides its length, so that it is sent in chunks.
type pacedBody struct{ rest []byte }

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(pieceInterval)
	n := copy(p, b.rest[:min(pieceSize, len(b.rest))])
	b.rest = b.rest[n:]
	return n, nil
}

// runBodyCase sends long unsafe requests in chunks. With trouble, a third of the servers rejects some of them before they
// are in. A server must not run a request with another body than the client's.
func runBodyCase(d *deployment, trouble bool) (broken int, err error) {
	seen := newObservations()
	d.store.write("op/config", bodyCaseConfig)
	zones := []string{"north-a", "north-b", "central-a", "central-b"}
	for n := range bodyServers {
		s, err := startServer(fmt.Sprintf("i-%02d", n), "dispatch", zones[n%len(zones)], seen, d.record)
		if err != nil {
			return 0, err
		}
		if trouble && n < bodyFaulty {
			s.rejectAfter = func() int64 {
				if rand.Float64() >= rejectShare {
					return -1
				}
				return rand.Int64N(longBody)
			}
		}
		d.store.write("servers/"+s.id, s.entry("ready"))
	}
	if err := d.addInstances([]place{{"north-a", "north"}, {"north-b", "north"}, {"central-a", "central"}, {"central-b", "central"}}); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for c := range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			rng := rand.NewChaCha8([32]byte{byte(c + 1)})
			for n, end := 0, time.Now().Add(bodyCaseTime); time.Now().Before(end); n++ {
				body := make([]byte, longBody)
				_, _ = rng.Read(body)
				id := fmt.Sprintf("c%d-%d", c, n)
				status, changed := sendLong(d, client, d.instances[c%len(d.instances)], id, body, seen)
				mu.Lock()
				answers[status]++
				broken += changed
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	total := 0
	for status, n := range answers {
		d.record.add("answers with status %d: %d", status, n)
		total += n
	}
	if answers[200] < total*9/10 {
		return broken, fmt.Errorf("%w: %d of %d requests were served", errCannotRun, answers[200], total)
	}
	return broken, nil
}

// sendLong sends one request and returns its status, or 0, and the number of runs with another body.
func sendLong(d *deployment, client *http.Client, i *instance, id string, body []byte, seen *observations) (status, changed int) {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	req, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/assign/"+id, &pacedBody{bytes.Clone(body)})
	if err != nil {
		return 0, 0
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "4000")
	d.record.add("client: sends %s with %d bytes, sha256 %.12s, to %s", id, len(body), digest, i.name)
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	d.record.add("client: %s is answered %d (error %v)", id, status, err)
	for _, r := range seen.of(id) {
		if r.digest != digest {
			changed++
			d.record.add("BROKEN: server %s ran %s with %d bytes instead of %d; the client was answered %d", r.server, id, r.bytes, len(body), status)
		}
	}
	return status, changed
}
