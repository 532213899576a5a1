//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// stormVersions and stormGap are the number of configurations of the storm and the time between them.
	stormVersions = 25
	stormGap      = 60 * time.Millisecond
	// stormRoutes is the number of routes of the configuration. Its value is below the megabyte that the store accepts.
	stormRoutes = 4300
	// stormApply is the site's bound config_apply.
	stormApply = 2 * time.Second
	// stormHistory is how long the store keeps its history.
	stormHistory = 20 * time.Second
	// stormWatch is how long requests are sent after the last acknowledgement.
	stormWatch = 30 * time.Second
)

// stormConfig returns a configuration in which the requests of /orders/ go to a service.
func stormConfig(version, routes int, service string) string {
	var rows []any
	add := func(kind, name string, spec map[string]any) {
		rows = append(rows, map[string]any{"type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	route := func(name, host, prefix, kind, service string) {
		add("routes", name, map[string]any{
			"host": host, "path_prefix": prefix, "kind": kind, "timeout": "1500ms", "target_latency": "800ms", "priority": 1, "service": service, "max_attempts": 2,
		})
	}
	route("orders", "app.example", "/orders/", "unsafe", service)
	for n := range routes {
		name := fmt.Sprintf("depot-%05d", n)
		route(name, "depots.example", "/"+name+"/", "safe", "old")
	}
	for _, name := range []string{"old", "new"} {
		add("services", name, map[string]any{"health_path": "/health", "max_conns": 260, "warmup": "3s", "warmup_per_s": 7.6})
	}
	add("limits", "limits", map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "5s", "idle_timeout": "20s"})
	text, err := json.Marshal(map[string]any{"version": version, "resources": rows})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// runStormCase lets the operator write configurations in quick succession. The last one moves a route to another service.
// Orders that are sent later than config_apply after its acknowledgement must not be run by the old service. Without
// trouble only the last one is written.
func runStormCase(d *deployment, trouble bool) (int, error) {
	seen := newObservations()
	for n := range 6 {
		service := []string{"old", "new"}[n%2]
		zone := []string{"north-a", "north-b", "central-a"}[n/2]
		s, err := startServer(fmt.Sprintf("i-%s-%d", service, n), service, zone, seen, d.record)
		if err != nil {
			return 0, err
		}
		d.store.write("servers/"+s.id, s.entry("ready"))
	}
	first := stormConfig(3, stormRoutes, "old")
	d.record.add("operator: version 3, %d routes, %d bytes", stormRoutes+1, len(first))
	d.store.setHistory(stormHistory)
	d.store.write("op/config", first)
	if err := d.addInstances([]place{{"north-a", "north"}, {"north-b", "north"}, {"central-a", "central"}}); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second) // until the readers of the regions are known
	versions := []string{}
	for n := 1; trouble && n < stormVersions; n++ {
		versions = append(versions, stormConfig(3+2*n, stormRoutes, "old"))
	}
	versions = append(versions, stormConfig(3+2*stormVersions, stormRoutes, "new"))
	at := time.Now()
	var acknowledged time.Time
	for n, v := range versions {
		time.Sleep(time.Until(at.Add(time.Duration(n) * stormGap)))
		d.store.write("op/config", v)
		acknowledged = time.Now()
		d.record.add("operator: a version of %d bytes is acknowledged", len(v))
	}
	broken, sent := 0, 0
	for end := acknowledged.Add(stormWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		i := d.instances[sent%len(d.instances)]
		sent++
		if d.runsAsBefore(i, seen, fmt.Sprintf("storm-%05d", sent), acknowledged) {
			broken++
		}
	}
	d.record.add("%d orders sent, %d of them run by the old service too late", sent, broken)
	return broken, nil
}

// runsAsBefore sends one order and reports whether only an older version allows where it runs.
func (d *deployment) runsAsBefore(i *instance, seen *observations, id string, acknowledged time.Time) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/orders/7", strings.NewReader("order "+id))
	if err != nil {
		return false
	}
	req.Host = "app.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "3000")
	at := time.Now()
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.record.add("%s sent to %s: %v", id, i.name, err)
		return false
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	after := at.Sub(acknowledged)
	d.record.add("%s sent to %s %.3f s after the acknowledgement: %d %s", id, i.name, after.Seconds(), resp.StatusCode, strings.TrimSpace(string(body[:min(len(body), 60)])))
	for _, r := range seen.of(id) {
		if r.service == "old" && after > stormApply {
			return true
		}
	}
	return false
}
