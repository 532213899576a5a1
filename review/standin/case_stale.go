//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// staleRounds is the number of changes of the configuration, each with a kill of another process.
	staleRounds = 4
	// staleRoundTime is the time from one change to the next.
	staleRoundTime = 18 * time.Second
	// staleLag is the age of a stale read of the first page; the other pages are current.
	staleLag = 2 * time.Second
	// restartPause is the pause between the end of a process and its next start.
	restartPause = 300 * time.Millisecond
	// contact and configApply are bounds of the site.
	contact     = 3 * time.Second
	configApply = 2 * time.Second
)

func staleCaseConfig(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"base_version":0,"resources":[
{"type":"routes","metadata":{"name":"r-assign"},"spec":{"host":"a.example","path_prefix":"/assign/","kind":"unsafe","timeout":"2s","target_latency":"500ms","priority":1,"service":%q,"max_attempts":2,"allowed_regions":[]}},
{"type":"services","metadata":{"name":"dispatch"},"spec":{"health_path":"/health","max_conns":260,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":7.0}},
{"type":"services","metadata":{"name":"roster"},"spec":{"health_path":"/health","max_conns":260,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":7.0}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`, version, service)
}

// runStaleCase moves a route from one service to another. With trouble, a process is killed right after each change and
// starts again. A machine in touch must not send a request to the old service later than configApply after the change.
func runStaleCase(d *deployment, trouble bool) (broken int, err error) {
	seen := newObservations()
	services := []string{"dispatch", "roster"}
	d.store.staleness = func(after string) time.Duration {
		if after == "" {
			return staleLag
		}
		return 0
	}
	version := 3
	d.store.write("op/config", staleCaseConfig(version, services[0]))
	zones := []string{"north-a", "north-b", "central-a", "central-b"}
	addServer := func(n int) error {
		s, err := startServer(fmt.Sprintf("i-%03d", n), services[n%2], zones[n/2%len(zones)], seen, d.record)
		if err == nil {
			d.store.write("servers/"+s.id, s.entry("ready"))
		}
		return err
	}
	for n := range 60 {
		if err := addServer(n); err != nil {
			return 0, err
		}
	}
	time.Sleep(staleLag + 500*time.Millisecond)
	if err := d.addInstances([]place{{"north-a", "north"}, {"north-b", "north"}, {"central-a", "central"}, {"central-b", "central"}}); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second)
	served := 0
	for round := range staleRounds {
		service := services[(round+1)%2]
		version += 2
		d.store.write("op/config", staleCaseConfig(version, service))
		acknowledged := time.Now()
		d.record.add("operator: version %d sends /assign/ to %s", version, service)
		killed := d.instances[round%len(d.instances)]
		time.Sleep(100 * time.Millisecond)
		if trouble {
			d.signal(killed, syscall.SIGKILL)
			killed.await(time.Second)
		}
		if err := addServer(60 + round); err != nil { // a server joins
			return broken, err
		}
		d.record.add("server i-%03d joins", 60+round)
		if trouble {
			time.Sleep(restartPause)
			if err := d.start(killed); err != nil {
				return broken, err
			}
		}
		b, s := watchRoute(d, seen, round, service, acknowledged)
		broken, served = broken+b, served+s
	}
	if served < staleRounds*100 {
		return broken, fmt.Errorf("%w: only %d requests were served", errCannotRun, served)
	}
	return broken, nil
}

// watchRoute sends requests to all instances until the end of a round and checks which service runs them.
func watchRoute(d *deployment, seen *observations, round int, service string, acknowledged time.Time) (broken, served int) {
	var mu sync.Mutex
	var senders sync.WaitGroup
	for _, i := range d.instances {
		senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
			for n := 0; time.Since(acknowledged) < staleRoundTime; n++ {
				id := fmt.Sprintf("r%d-%s-%d", round, i.name, n)
				sent := time.Now()
				status := sendOrder(d, client, i, id)
				i.mu.Lock()
				inTouch := sent.Sub(i.startedAt) > contact
				i.mu.Unlock()
				mu.Lock()
				if status == http.StatusOK {
					served++
				}
				for _, r := range seen.of(id) {
					if inTouch && sent.Sub(acknowledged) > configApply && r.service != service {
						broken++
						d.record.add("BROKEN: %s was sent to %s %.1f s after the change; %s ran it, the route's service is %s", id, i.name, sent.Sub(acknowledged).Seconds(), r.service, service)
					}
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	return broken, served
}

// sendOrder sends a short unsafe request and returns the status of its answer, or 0.
func sendOrder(d *deployment, client *http.Client, i *instance, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/assign/"+id, strings.NewReader("order "+id))
	if err != nil {
		return 0
	}
	req.Host, req.GetBody = "a.example", nil
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "4000")
	d.record.add("client: sends %s to %s", id, i.name)
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	d.record.add("client: %s is answered %d (error %v)", id, status, err)
	return status
}
