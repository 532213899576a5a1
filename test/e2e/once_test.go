package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/standin"
)

// deployAtMostOnce starts a store, two upstreams and three entries in two failure
// domains, with a route whose requests run at most once for each identity. It
// returns when the entries grant claims.
func deployAtMostOnce(t *testing.T) (d *deployment, upstreams []string) {
	t.Helper()
	d = &deployment{storeAddress: fake.FreeAddress(t)}
	d.storeURL = "http://" + d.storeAddress
	d.storeProcess = startStore(t, d.storeAddress, "--data", t.TempDir()+"/store.json")
	var rows []string
	for i, domain := range []string{"n1", "n2"} {
		address, id := fake.FreeAddress(t), fmt.Sprintf("u%d", i+1)
		u := start(t, "standin", "upstream", "--listen", address, "--id", id, "--slots", "32", "--service", "2ms")
		u.until(t, "upstream responds", func() bool { code, _ := get("http://" + address); return code == 200 })
		upstreams = append(upstreams, "http://"+address)
		rows = append(rows, fmt.Sprintf(`{"id":%q,"address":%q,"region":"north","failure_domain":%q}`, id, address, domain))
	}
	// The deadline bounds the wait for a claim while no write quorum is reachable.
	route := `{"name":"orders","match":{"path_prefix":"/orders"},"pool":"orders","idempotency":"non-idempotent","identity_header":"Idempotency-Key","deadline":"3s"}`
	mustRun(t, fmt.Sprintf(`{"name":"orders","slots":32,"connections":200,"upstreams":[%s]}`, strings.Join(rows, ",")), d.args("pool", "put", "-")...)
	mustRun(t, route, d.args("route", "put", "-")...)
	for i, domain := range []string{"n1", "n2", "n1"} {
		d.entries = append(d.entries, startEntry(t, fmt.Sprintf("entry-%d", i+1), domain, d.storeURL))
	}
	for _, e := range d.entries {
		e.untilReady(t)
	}
	until(t, "all instances are listed", func() bool {
		out, _, code := runCommand(t, "", d.args("status", "-o", "json")...)
		return code == 0 && strings.Count(out, `"state": "serving"`) == 3
	})
	d.untilClaimsGranted(t, "at the start")
	return d, upstreams
}

// copyResult is the result of one copy of a request.
type copyResult struct {
	status        int
	outcome, body string
	noResponse    bool // the copy ended without a response
	start, end    time.Time
	ranBefore     bool // an upstream had run a request of this identity before this copy was sent
}

func (c copyResult) notRun() bool { return !c.noResponse && c.outcome == "not-run" }

// postOrder sends one request with the identity, or without one if it is empty.
func postOrder(e *entry, identity string) copyResult {
	c := copyResult{start: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddress+"/orders", strings.NewReader("order"))
	if err != nil {
		panic(err)
	}
	req.Host = "orders.test" // the digest of a request covers its host, so it must be the same for all entries
	if identity != "" {
		req.Header.Set("Idempotency-Key", identity)
	}
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.status, c.outcome, c.body = resp.StatusCode, resp.Header.Get("Turmericsail-Outcome"), string(body)
	}
	c.noResponse, c.end = err != nil, time.Now()
	return c
}

// probeCount makes the identities of untilClaimsGranted unique.
var probeCount atomic.Int64

// untilClaimsGranted waits until every entry grants a claim for a new identity.
func (d *deployment) untilClaimsGranted(t *testing.T, when string) {
	t.Helper()
	for i, e := range d.entries {
		until(t, fmt.Sprintf("entry %d serves new identities %s", i+1, when), func() bool {
			return postOrder(e, fmt.Sprintf("probe-%d", probeCount.Add(1))).status == 200
		})
	}
}

// fetchRuns returns for each identity how often the upstreams ran it in total.
func fetchRuns(upstreams []string) (map[string]int, error) {
	all := map[string]int{}
	for _, u := range upstreams {
		code, body := get(u + "/standin/runs")
		runs := map[string]int{}
		if err := json.Unmarshal([]byte(body), &runs); code != 200 || err != nil {
			return nil, fmt.Errorf("runs of %s: %d %s %v", u, code, body, err)
		}
		for identity, n := range runs {
			all[identity] += n
		}
	}
	return all, nil
}

// duplicateLoad sends several copies of each request and records all results.
type duplicateLoad struct {
	entries   []*entry
	upstreams []string
	mu        sync.Mutex
	results   map[string][]copyResult // by identity
	ended     int                     // copies that have ended
	notRun    int                     // copies with the outcome not-run
}

const (
	phaseIdentities = 60 // identities per phase, each sent six times
	phaseWorkers    = 6  // concurrent senders
)

// sendCopies sends one copy to each entry concurrently, and then another copy to
// each entry in sequence.
func (l *duplicateLoad) sendCopies(t *testing.T, identity string) {
	var wg sync.WaitGroup
	for _, e := range l.entries {
		wg.Go(func() { l.record(identity, postOrder(e, identity)) })
	}
	wg.Wait()
	l.sendRepeats(t, identity)
}

// sendRepeats sends one copy to each entry in sequence. It records for them whether
// the identity had run before.
func (l *duplicateLoad) sendRepeats(t *testing.T, identity string) {
	runs, err := fetchRuns(l.upstreams)
	if err != nil {
		t.Error(err)
		return
	}
	for _, e := range l.entries {
		c := postOrder(e, identity)
		c.ranBefore = runs[identity] > 0
		l.record(identity, c)
	}
}

func (l *duplicateLoad) record(identity string, c copyResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[identity] = append(l.results[identity], c)
	l.ended++
	if c.notRun() {
		l.notRun++
	}
}

// killDuringRequests kills an entry while upstreams run requests that it has sent,
// and then repeats these requests at all entries.
func (l *duplicateLoad) killDuringRequests(t *testing.T, victim *entry) {
	t.Helper()
	setFaults(t, l.upstreams, standin.UpstreamFaults{SlowMS: 1000})
	var identities []string
	defer func() {
		if t.Failed() {
			l.logResults(t, identities)
		}
	}()
	var wg sync.WaitGroup
	send := func() {
		for range 8 {
			identity := fmt.Sprintf("cut-%d", len(identities))
			identities = append(identities, identity)
			wg.Go(func() { l.record(identity, postOrder(victim, identity)) })
		}
	}
	send()
	// The concurrency limit of a slow upstream decreases, so some requests may not run.
	until(t, "an upstream runs one of the requests", func() bool {
		if l.allNotRun(identities) { // none is left that could run
			send()
		}
		runs, err := fetchRuns(l.upstreams)
		return err == nil && slices.ContainsFunc(identities, func(identity string) bool { return runs[identity] > 0 })
	})
	victim.signal(t, syscall.SIGKILL)
	victim.wait(t)
	wg.Wait()
	setFaults(t, l.upstreams, standin.UpstreamFaults{})
	for _, identity := range identities {
		wg.Go(func() { l.sendRepeats(t, identity) })
	}
	wg.Wait()
}

// allNotRun reports whether all copies of some identities have ended and did not run.
func (l *duplicateLoad) allNotRun(identities []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(identities, func(identity string) bool {
		copies := l.results[identity]
		return len(copies) == 0 || slices.ContainsFunc(copies, func(c copyResult) bool { return !c.notRun() })
	})
}

// logResults logs the results so far of some identities.
func (l *duplicateLoad) logResults(t *testing.T, identities []string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, identity := range identities {
		if len(l.results[identity]) == 0 {
			t.Logf("%s: no result yet", identity)
		}
		for _, c := range l.results[identity] {
			t.Logf("%s: status %d, outcome %q, no response %t, sent at %s, ended after %s: %s", identity, c.status, c.outcome, c.noResponse,
				c.start.Format(time.TimeOnly+".000"), c.end.Sub(c.start), c.body)
		}
	}
}

func (l *duplicateLoad) counts() (ended, notRun int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended, l.notRun
}

// phase sends phaseIdentities new identities and calls event after a third of them
// have been passed to the workers.
func (l *duplicateLoad) phase(t *testing.T, name string, event func()) {
	t.Helper()
	identities, third := make(chan string), make(chan struct{})
	var wg sync.WaitGroup
	for range phaseWorkers {
		wg.Go(func() {
			for identity := range identities {
				l.sendCopies(t, identity)
			}
		})
	}
	go func() {
		defer close(identities)
		for i := range phaseIdentities {
			if i == phaseIdentities/3 {
				close(third)
			}
			identities <- fmt.Sprintf("%s-%d", name, i)
		}
	}()
	<-third
	begin := time.Now()
	event()
	wg.Wait()
	t.Logf("%s: event and remaining requests took %v", name, time.Since(begin).Round(time.Millisecond))
}

// checkResults compares the responses to each identity with the number of its runs.
func (l *duplicateLoad) checkResults(t *testing.T) {
	t.Helper()
	runs, err := fetchRuns(l.upstreams)
	if err != nil {
		t.Fatal(err)
	}
	var answered, refused, lost int
	others := map[string]int{} // copies with other results, by phase, status, kind of error and outcome
	for identity, copies := range l.results {
		var body string
		var ranAt time.Time // end of the earliest successful copy
		mayHaveRun := false
		for _, c := range copies {
			switch {
			case c.noResponse:
				lost++
			case c.status == 200:
				answered++
				if body == "" {
					body = c.body
				}
				if c.body != body {
					t.Errorf("%s: different responses: %s and %s", identity, body, c.body)
				}
				if ranAt.IsZero() || c.end.Before(ranAt) {
					ranAt = c.end
				}
			case c.notRun():
				refused++
			default:
				var f struct{ Kind string }
				_ = json.Unmarshal([]byte(c.body), &f)
				phase, _, _ := strings.Cut(identity, "-")
				others[fmt.Sprintf("%s %d %s %s", phase, c.status, f.Kind, c.outcome)]++
			}
			mayHaveRun = mayHaveRun || !c.notRun()
		}
		for _, c := range copies {
			if c.notRun() && (c.ranBefore || !ranAt.IsZero() && c.start.After(ranAt)) {
				t.Errorf("%s: not-run after a run: %d %s", identity, c.status, c.body)
			}
		}
		if n := runs[identity]; n > 1 || (n == 0 && body != "") || (n > 0 && !mayHaveRun) {
			t.Errorf("%s: ran %d times, copies %+v", identity, n, copies)
		}
	}
	for identity, n := range runs {
		if n > 1 && l.results[identity] == nil {
			t.Errorf("%s: ran %d times", identity, n)
		}
	}
	t.Logf("%d identities; copies: %d answered, %d not-run, %d lost, others %v", len(l.results), answered, refused, lost, others)
	if answered == 0 || refused == 0 || lost == 0 {
		t.Error("the load has no answered, no not-run or no lost copies, so the checks are inconclusive")
	}
}

// checkRevisionsMonotonic polls the entries until stop is called. The test fails when
// the revision in force at an entry decreases, also across a restart of the entry.
func checkRevisionsMonotonic(t *testing.T, entries []*entry) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			var first, highest uint64
			var seen int
			for {
				select {
				case <-done:
					t.Logf("%s: %d reads, revisions %d to %d", e.adminAddress, seen, first, highest)
					if highest == first {
						t.Errorf("%s: the revision did not change, so the check is inconclusive", e.adminAddress)
					}
					return
				case <-time.After(20 * time.Millisecond):
				}
				code, body := get("http://" + e.adminAddress + "/status")
				var s admin.Status
				if code != 200 || json.Unmarshal([]byte(body), &s) != nil || s.Revision == 0 {
					continue // killed, or not serving yet after a restart
				}
				if s.Revision < highest {
					t.Errorf("%s: the revision decreased from %d to %d", s.Instance, highest, s.Revision)
				}
				if first == 0 {
					first = s.Revision
				}
				highest, seen = max(highest, s.Revision), seen+1
			}
		})
	}
	return sync.OnceFunc(func() { close(done); wg.Wait() })
}

func setFaults(t *testing.T, upstreams []string, f standin.UpstreamFaults) {
	t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range upstreams {
		req, err := http.NewRequest(http.MethodPut, u+"/standin/faults", strings.NewReader(string(data)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("faults of %s: status %d", u, resp.StatusCode)
		}
	}
}

// Guards against a request that runs twice, gets two different responses or is
// reported as not-run after it ran, and against a revision that decreases. Copies
// of requests are sent during an edit, load shedding by the upstreams, the kill and
// restart of an entry, and a restart of the store.
func TestAtMostOnceThroughKillsAndRestarts(t *testing.T) {
	d, upstreams := deployAtMostOnce(t)
	stop := checkRevisionsMonotonic(t, d.entries)
	defer stop()
	l := &duplicateLoad{entries: d.entries, upstreams: upstreams, results: map[string][]copyResult{}}
	l.phase(t, "edit", func() {
		mustRun(t, "", d.args("pool", "edit", "orders", "--set", `failure_domains_out=["n1"]`, "--wait", waitTimeout.String())...)
		mustRun(t, "", d.args("pool", "edit", "orders", "--unset", "failure_domains_out", "--wait", waitTimeout.String())...)
	})
	l.phase(t, "shed", func() { // an upstream's refusal without a run releases the claim
		setFaults(t, upstreams, standin.UpstreamFaults{Shed: true})
		until(t, "copies are refused with not-run", func() bool { _, n := l.counts(); return n >= 20 })
		setFaults(t, upstreams, standin.UpstreamFaults{})
	})
	victim := d.entries[0]
	l.phase(t, "kill", func() { l.killDuringRequests(t, victim) })
	l.phase(t, "store", func() {
		args := d.storeProcess.cmd.Args[1:]
		d.storeProcess.stop(t)
		before, _ := l.counts()
		until(t, "copies end without the store", func() bool { n, _ := l.counts(); return n >= before+30 })
		d.storeProcess = start(t, args...)
		d.storeProcess.until(t, "store responds", func() bool { code, _ := get(d.storeURL + "/standin/faults"); return code == 200 })
	})
	l.phase(t, "return", func() {
		victim.process = start(t, victim.cmd.Args[1:]...)
		victim.untilReady(t)
	})
	d.untilClaimsGranted(t, "at the end")
	// All entries, including the restarted one, must still recognize every earlier identity.
	for _, identity := range slices.Collect(maps.Keys(l.results)) {
		l.sendRepeats(t, identity)
	}
	l.checkResults(t)
	mustRun(t, "", d.args("route", "edit", "orders", "--set", `tenant="derwent"`, "--wait", waitTimeout.String())...)
	stop()
}

// Guards against requests that fail because of their claims although no fault is
// injected. It also prints the latency that a claim adds, without a limit on it.
func TestClaimLatency(t *testing.T) {
	is := is.New(t)
	d, _ := deployAtMostOnce(t)
	// Requests to cold upstreams also wait for the cold-start allowance.
	until(t, "the upstreams are warm", func() bool {
		for _, e := range d.entries {
			postOrder(e, "")
		}
		return !strings.Contains(mustRun(t, "", d.args("status", "-o", "json")...), `"state": "cold"`)
	})
	const requests = 500
	var with, without []time.Duration
	for i := range requests {
		e := d.entries[i%len(d.entries)]
		identities := []string{"", fmt.Sprintf("latency-%d", i)}
		if i%2 == 1 {
			slices.Reverse(identities) // alternates which kind is sent first
		}
		for _, identity := range identities {
			c := postOrder(e, identity)
			is.Equal(c.status, 200)
			if identity == "" {
				without = append(without, c.end.Sub(c.start))
			} else {
				with = append(with, c.end.Sub(c.start))
			}
		}
	}
	slices.Sort(with)
	slices.Sort(without)
	for _, q := range []struct {
		name string
		at   int
	}{{"p50", requests / 2}, {"p99", requests * 99 / 100}} {
		a, b := without[q.at], with[q.at]
		t.Logf("%s: %v without a claim, %v with one, difference %v", q.name, a, b, b-a)
	}
}
