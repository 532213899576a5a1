//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// routeCaseConfig has a route for /assign/ and, if express is set, a second one below it, to another service.
func routeCaseConfig(version int, express bool) string {
	added := ""
	if express {
		added = `{"type":"routes","metadata":{"name":"r-express"},"spec":{"host":"a.example","path_prefix":"/assign/express/","kind":"unsafe","timeout":"2s","target_latency":"500ms","priority":1,"service":"roster","max_attempts":2,"allowed_regions":[]}},
`
	}
	return strings.Replace(staleCaseConfig(version, "dispatch"), `{"type":"services"`, added+`{"type":"services"`, 1)
}

// runRouteCase sends unsafe requests whose path has an encoded slash. With trouble, the operator adds a route whose prefix
// begins their decoded path, but not their path. They must go on to the service of the route that they had.
func runRouteCase(d *deployment, trouble bool) (broken int, err error) {
	seen := newObservations()
	d.store.write("op/config", routeCaseConfig(3, false))
	zones := []string{"north-a", "north-b"}
	for n := range 8 {
		s, err := startServer(fmt.Sprintf("i-%02d", n), []string{"dispatch", "roster"}[n%2], zones[n/2%2], seen, d.record)
		if err != nil {
			return 0, err
		}
		d.store.write("servers/"+s.id, s.entry("ready"))
	}
	if err := d.addInstances([]place{{"north-a", "north"}, {"north-b", "north"}}); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	served := 0
	send := func(prefix, want string, n int) {
		i := d.instances[n%len(d.instances)]
		id := fmt.Sprintf("order-%d", n)
		req, err := http.NewRequest(http.MethodPost, "http://"+i.front+prefix+id, strings.NewReader("order "+id))
		if err != nil {
			return
		}
		req.Host, req.GetBody = "a.example", nil
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Deadline", "4000")
		d.record.add("client: sends %s %s to %s", id, req.URL.RequestURI(), i.name)
		resp, err := client.Do(req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		d.record.add("client: %s is answered %d (error %v)", id, status, err)
		if status == http.StatusOK {
			served++
		}
		for _, r := range seen.of(id) {
			if r.service != want {
				broken++
				d.record.add("BROKEN: %s with path %s ran at %s of %s; every configuration sends that path to %s", id, r.path, r.server, r.service, want)
			}
		}
	}
	n := 0
	round := func(count int) {
		for range count {
			send("/assign/", "dispatch", n)
			send("/assign/express%2F", "dispatch", n+1)
			n += 2
		}
	}
	round(20)
	if trouble {
		d.store.write("op/config", routeCaseConfig(5, true))
		d.record.add("operator: version 5 adds the route /assign/express/ to roster")
		time.Sleep(configApply + contact)
		for range 10 {
			send("/assign/express/", "roster", n)
			n++
		}
	}
	round(50)
	if served < n*9/10 {
		return broken, fmt.Errorf("%w: %d of %d requests were served", errCannotRun, served, n)
	}
	return broken, nil
}
