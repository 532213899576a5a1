package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/turmericsail/turmericsail/internal/standin"

	"github.com/turmericsail/turmericsail/internal/fake"
)

// upstream is a stand-in upstream with its row in the pool.
type upstream struct {
	*process
	id, address, region, domain string
	args                        []string
}

// startUpstream starts a stand-in upstream on a free address.
func startUpstream(t *testing.T, id, region, domain string, args ...string) *upstream {
	t.Helper()
	u := &upstream{id: id, address: fake.FreeAddress(t), region: region, domain: domain, args: args}
	u.start(t)
	return u
}

// start starts the process and waits until it responds. It also restarts an
// upstream whose process has exited, at the same address.
func (u *upstream) start(t *testing.T) {
	t.Helper()
	u.process = start(t, append([]string{"standin", "upstream", "--listen", u.address, "--id", u.id}, u.args...)...)
	u.until(t, "upstream responds", func() bool { code, _ := get("http://" + u.address + "/health"); return code == 200 })
}

// counts returns the request counters of the upstream.
func (u *upstream) counts(t *testing.T) standin.UpstreamCounts {
	t.Helper()
	var c standin.UpstreamCounts
	_, body := get("http://" + u.address + "/standin/counts")
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		t.Fatalf("counts of %s: %v: %s", u.id, err, body)
	}
	return c
}

// poolJSON returns the row of a pool with the upstreams, with fields added or replaced.
func poolJSON(t *testing.T, fields map[string]any, upstreams ...*upstream) string {
	t.Helper()
	row := map[string]any{"name": "roster", "slots": 8, "connections": 100}
	var list []map[string]string
	for _, u := range upstreams {
		list = append(list, map[string]string{"id": u.id, "address": u.address, "region": u.region, "failure_domain": u.domain})
	}
	row["upstreams"] = list
	for k, v := range fields {
		row[k] = v
	}
	data, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sendRequest sends a request and returns the status, outcome and body of its
// response, or 0 and the error.
func sendRequest(t *testing.T, method, url, body string, header map[string]string) (code int, outcome, responseBody string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "roster.example" // copies sent to different entries must count as the same request
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fmt.Sprint("response truncated: ", err)
	}
	return resp.StatusCode, resp.Header.Get("Turmericsail-Outcome"), string(data)
}

// untilInForce waits until all entries are listed and serve with the tables in the store.
func untilInForce(t *testing.T, storeURL string, entries ...*entry) {
	t.Helper()
	for _, e := range entries {
		e.untilReady(t)
	}
	until(t, "all instances are listed and in force", func() bool {
		out, _, code := runCommand(t, "", "status", "-o", "json", "--store", storeURL)
		return code == 0 && strings.Count(out, `"state": "serving"`) == len(entries)
	})
	mustRun(t, "", "route", "edit", "roster", "--set", `tenant="derwent"`, "--wait", waitTimeout.String(), "--store", storeURL)
}
