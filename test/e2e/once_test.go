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

// deployOnce starts a store, two upstreams and three entries in two failure
// domains, with a route whose requests run at most once for each identity. It
// returns when the entries grant claims.
func deployOnce(t *testing.T) (d *deployment, upstreams []string) {
	t.Helper()
	d = &deployment{store: fake.FreeAddress(t)}
	d.storeURL = "http://" + d.store
	d.storeProcess = startStore(t, d.store, "--data", t.TempDir()+"/store.json")
	var rows []string
	for i, domain := range []string{"n1", "n2"} {
		address, id := fake.FreeAddress(t), fmt.Sprintf("u%d", i+1)
		u := start(t, "standin", "upstream", "--listen", address, "--id", id, "--slots", "32", "--service", "2ms")
		u.until(t, "upstream answers", func() bool { code, _ := get("http://" + address); return code == 200 })
		upstreams = append(upstreams, "http://"+address)
		rows = append(rows, fmt.Sprintf(`{"id":%q,"address":%q,"region":"north","failure_domain":%q}`, id, address, domain))
	}
	// The deadline bounds the wait for a claim while no write quorum can be reached.
	route := `{"name":"orders","match":{"path_prefix":"/orders"},"pool":"orders","idempotency":"non-idempotent","identity_header":"Idempotency-Key","deadline":"3s"}`
	must(t, fmt.Sprintf(`{"name":"orders","slots":32,"connections":200,"upstreams":[%s]}`, strings.Join(rows, ",")), d.args("pool", "put", "-")...)
	must(t, route, d.args("route", "put", "-")...)
	for i, domain := range []string{"n1", "n2", "n1"} {
		d.entries = append(d.entries, startEntry(t, fmt.Sprintf("entry-%d", i+1), domain, d.storeURL))
	}
	for _, e := range d.entries {
		e.untilReady(t)
	}
	until(t, "all instances are listed", func() bool {
		out, _, code := command(t, "", d.args("status", "-o", "json")...)
		return code == 0 && strings.Count(out, `"state": "serving"`) == 3
	})
	d.untilClaimsGranted(t, "at the start")
	return d, upstreams
}

// copyResult is the answer to one copy of a request.
type copyResult struct {
	status        int
	outcome, body string
	lost          bool // the copy ended without an answer
	start, end    time.Time
	ranBefore     bool // an upstream had run the identity before this copy was sent
}

func (c copyResult) notRun() bool { return !c.lost && c.outcome == "not-run" }

func post(e *entry, identity string) copyResult {
	c := copyResult{start: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/orders", strings.NewReader("order"))
	if err != nil {
		panic(err)
	}
	req.Host = "orders.test" // the digest of a request covers its host, and copies go to several addresses
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
	c.lost, c.end = err != nil, time.Now()
	return c
}

// probes numbers the identities of untilClaimsGranted, which are never repeated.
var probes atomic.Int64

// untilClaimsGranted waits until every entry serves new identities.
func (d *deployment) untilClaimsGranted(t *testing.T, when string) {
	t.Helper()
	for i, e := range d.entries {
		until(t, fmt.Sprintf("entry %d serves new identities %s", i+1, when), func() bool {
			return post(e, fmt.Sprintf("probe-%d", probes.Add(1))).status == 200
		})
	}
}

// runsOf adds up the runs of each identity over the upstreams.
func runsOf(upstreams []string) (map[string]int, error) {
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

// onceLoad sends identities, each several times, and keeps all results.
type onceLoad struct {
	entries   []*entry
	upstreams []string
	mu        sync.Mutex
	results   map[string][]copyResult
	ended     int // copies
	notRun    int // copies with this outcome
}

const (
	phaseIdentities = 60 // of one phase; each is sent six times in it
	phaseWorkers    = 6
)

// send sends one copy to each entry at the same time, and then one after another.
func (l *onceLoad) send(t *testing.T, identity string) {
	var wg sync.WaitGroup
	for _, e := range l.entries {
		wg.Go(func() { l.add(identity, post(e, identity)) })
	}
	wg.Wait()
	l.repeat(t, identity)
}

// repeat sends one copy to each entry, one after another.
func (l *onceLoad) repeat(t *testing.T, identity string) {
	runs, err := runsOf(l.upstreams)
	if err != nil {
		t.Error(err)
		return
	}
	for _, e := range l.entries {
		c := post(e, identity)
		c.ranBefore = runs[identity] > 0
		l.add(identity, c)
	}
}

func (l *onceLoad) add(identity string, c copyResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[identity] = append(l.results[identity], c)
	l.ended++
	if c.notRun() {
		l.notRun++
	}
}

// cut kills an entry while upstreams run requests of it, and repeats these requests.
func (l *onceLoad) cut(t *testing.T, victim *entry) {
	t.Helper()
	setFaults(t, l.upstreams, standin.UpstreamFaults{SlowMS: 1000})
	var identities []string
	var wg sync.WaitGroup
	for i := range 8 {
		identity := fmt.Sprintf("cut-%d", i)
		identities = append(identities, identity)
		wg.Go(func() { l.add(identity, post(victim, identity)) })
	}
	// The limit of a slowed upstream shrinks, so not all of them need to run.
	until(t, "an upstream runs one of the requests", func() bool {
		runs, err := runsOf(l.upstreams)
		return err == nil && slices.ContainsFunc(identities, func(identity string) bool { return runs[identity] > 0 })
	})
	victim.signal(t, syscall.SIGKILL)
	victim.wait(t)
	wg.Wait()
	setFaults(t, l.upstreams, standin.UpstreamFaults{})
	for _, identity := range identities {
		wg.Go(func() { l.repeat(t, identity) })
	}
	wg.Wait()
}

func (l *onceLoad) counts() (ended, notRun int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended, l.notRun
}

// phase sends its identities and calls event when a third of them has ended.
func (l *onceLoad) phase(t *testing.T, name string, event func()) {
	t.Helper()
	identities, third := make(chan string), make(chan struct{})
	var wg sync.WaitGroup
	for range phaseWorkers {
		wg.Go(func() {
			for identity := range identities {
				l.send(t, identity)
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
	t.Logf("%s: event and rest of the phase took %v", name, time.Since(begin).Round(time.Millisecond))
}

// check compares the answers of each identity with its runs.
func (l *onceLoad) check(t *testing.T) {
	t.Helper()
	runs, err := runsOf(l.upstreams)
	if err != nil {
		t.Fatal(err)
	}
	var answered, refused, lost int
	others := map[string]int{} // by phase, status and kind of the refusal
	for identity, copies := range l.results {
		var body string
		var ranAt time.Time // end of the first copy that was answered
		mayHaveRun := false
		for _, c := range copies {
			switch {
			case c.lost:
				lost++
			case c.status == 200:
				answered++
				if body == "" {
					body = c.body
				}
				if c.body != body {
					t.Errorf("%s: two answers: %s and %s", identity, body, c.body)
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
			t.Errorf("%s: ran %d times, answers %+v", identity, n, copies)
		}
	}
	for identity, n := range runs {
		if n > 1 && l.results[identity] == nil {
			t.Errorf("%s: ran %d times", identity, n)
		}
	}
	t.Logf("%d identities; copies: %d answered, %d not-run, %d lost, others %v", len(l.results), answered, refused, lost, others)
	if answered == 0 || refused == 0 || lost == 0 {
		t.Error("the load lacks answered, not-run or lost copies, so the checks say little")
	}
}

// watchRevisions reports a revision in force that is lower than an earlier one of
// the same entry, also over its restart, until stop is called.
func watchRevisions(t *testing.T, entries []*entry) (stop func()) {
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
					t.Logf("%s: %d reads, revisions %d to %d", e.admin, seen, first, highest)
					if highest == first {
						t.Errorf("%s: no new revision was seen, so the check says nothing", e.admin)
					}
					return
				case <-time.After(20 * time.Millisecond):
				}
				code, body := get("http://" + e.admin + "/status")
				var s admin.Status
				if code != 200 || json.Unmarshal([]byte(body), &s) != nil || s.Revision == 0 {
					continue // killed, or not yet serving after its start
				}
				if s.Revision < highest {
					t.Errorf("%s went back from revision %d to %d", s.Instance, highest, s.Revision)
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

// Guards against a request that runs twice, gets two answers or is called not-run
// after it ran, and against a revision that goes back, when an edit, the death and
// return of an entry and a restart of the store come while repeats are under way.
func TestAtMostOnceThroughKillsAndRestarts(t *testing.T) {
	d, upstreams := deployOnce(t)
	stop := watchRevisions(t, d.entries)
	defer stop()
	l := &onceLoad{entries: d.entries, upstreams: upstreams, results: map[string][]copyResult{}}
	l.phase(t, "edit", func() {
		must(t, "", d.args("pool", "edit", "orders", "--set", `failure_domains_out=["n1"]`, "--wait", limit.String())...)
		must(t, "", d.args("pool", "edit", "orders", "--unset", "failure_domains_out", "--wait", limit.String())...)
	})
	l.phase(t, "shed", func() { // truthful refusals release claims
		setFaults(t, upstreams, standin.UpstreamFaults{Shed: true})
		until(t, "copies are refused with not-run", func() bool { _, n := l.counts(); return n >= 20 })
		setFaults(t, upstreams, standin.UpstreamFaults{})
	})
	victim := d.entries[0]
	l.phase(t, "kill", func() { l.cut(t, victim) })
	l.phase(t, "store", func() {
		args := d.storeProcess.cmd.Args[1:]
		d.storeProcess.stop(t)
		before, _ := l.counts()
		until(t, "copies end without the store", func() bool { n, _ := l.counts(); return n >= before+30 })
		d.storeProcess = start(t, args...)
		d.storeProcess.until(t, "store answers", func() bool { code, _ := get(d.storeURL + "/standin/faults"); return code == 200 })
	})
	l.phase(t, "return", func() {
		victim.process = start(t, victim.cmd.Args[1:]...)
		victim.untilReady(t)
	})
	d.untilClaimsGranted(t, "at the end")
	// The entries, the returned one among them, still have to know every earlier identity.
	for _, identity := range slices.Collect(maps.Keys(l.results)) {
		l.repeat(t, identity)
	}
	l.check(t)
	must(t, "", d.args("route", "edit", "orders", "--set", `tenant="derwent"`, "--wait", limit.String())...)
	stop()
}

// Guards against requests that fail for their claims without any fault, and prints
// what a claim adds to the latency. It decides nothing by time.
func TestClaimLatency(t *testing.T) {
	is := is.New(t)
	d, _ := deployOnce(t)
	// Requests to cold upstreams wait for a share of the cold-start allowance.
	until(t, "the upstreams are warm", func() bool {
		for _, e := range d.entries {
			post(e, "")
		}
		return !strings.Contains(must(t, "", d.args("status", "-o", "json")...), `"state": "cold"`)
	})
	const requests = 500
	var with, without []time.Duration
	for i := range requests {
		e := d.entries[i%len(d.entries)]
		identities := []string{"", fmt.Sprintf("latency-%d", i)}
		if i%2 == 1 {
			slices.Reverse(identities) // so that neither kind always goes first
		}
		for _, identity := range identities {
			c := post(e, identity)
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
