package placement

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

var experiment = flag.Duration("experiment", 0, "virtual duration of each run of TestExperiment; 0 skips the test")

var experimentSeeds = flag.Int("seeds", 3, "number of seeds whose results TestExperiment merges")

var experimentLoads = flag.String("loads", "50,70,85,95", "loads of TestExperiment in percent of slots")

var experimentPolicies = flag.String("policies", strings.Join(append(BaselineNames(), "perfect", "broker", "broker+limit", "broker+limit+hedge", "broker+limit+overlap1", "broker+limit+overlap1+hedge", "broker+limit+overlap2", "broker+limit+overlap2+hedge"), ","), "policies that TestExperiment runs")

var deployments = map[string]deployment{"derwent": derwent, "kilimanjaro": kilimanjaro}

// TestExperiment prints the tables of docs/measurements.md.
func TestExperiment(t *testing.T) {
	if *experiment == 0 {
		t.Skip("run with -experiment 20s")
	}
	for _, name := range []string{"derwent", "kilimanjaro"} {
		var rows []func() string
		for _, text := range strings.Split(*experimentLoads, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			for _, policy := range strings.Split(*experimentPolicies, ",") {
				policy, hedge := strings.CutSuffix(policy, "+hedge")
				policy, overlap := cutOverlap(policy)
				policy, adaptive := strings.CutSuffix(policy, "+limit")
				r := run{adaptive: adaptive, overlap: overlap, deployment: deployments[name], policy: policy, load: load / 100, hedge: hedge, duration: *experiment, seed: 1}
				rows = append(rows, func() string { return runSeeds(r, *experimentSeeds).row() })
			}
		}
		fmt.Printf("\n%s\n%s\n", name, rowHeader)
		for _, line := range runParallel(rows) {
			fmt.Println(line)
		}
	}
}

// cutOverlap removes a suffix such as "+overlap1" from a policy name and returns the number.
func cutOverlap(policy string) (string, int) {
	name, n, _ := strings.Cut(policy, "+overlap")
	overlap, _ := strconv.Atoi(n)
	return name, overlap
}

// workers is the number of concurrent runs.
const workers = 4

func runParallel(rows []func() string) []string {
	out := make([]string, len(rows))
	var g sync.WaitGroup
	free := make(chan struct{}, workers)
	for i, row := range rows {
		g.Go(func() {
			free <- struct{}{}
			out[i] = row()
			<-free
		})
	}
	g.Wait()
	return out
}

// runSeeds runs the same configuration with several seeds and merges the results.
func runSeeds(r run, seeds int) *sim {
	first := runSim(r)
	for i := 1; i < seeds; i++ {
		r.seed++
		first.merge(runSim(r))
	}
	return first
}

// removeDomainScript takes a failure domain out of service by an edit of the pool and
// restores it. The instances apply an edit at different times within editSpread (1 s).
func removeDomainScript(domain string, last *time.Duration) func(s *sim) {
	return func(s *sim) {
		s.after(removedAt, func() {
			p := s.pool
			p.FailureDomainsOut = []string{domain}
			s.setPool(p, editSpread)
		})
		s.after(restoredAt, func() {
			*last = s.lastStartIn(domain) - removedAt
			p := s.pool
			p.FailureDomainsOut = nil
			s.setPool(p, editSpread)
		})
	}
}

// killDomainScript kills a failure domain without warning and restores it.
func killDomainScript(domain string) func(s *sim) {
	return func(s *sim) {
		s.after(removedAt, func() { s.kill(domain, 500*time.Millisecond) })
		s.after(restoredAt, func() { s.restore(domain, 500*time.Millisecond) })
	}
}

const (
	removedAt  = 2 * time.Second
	restoredAt = 4 * time.Second
	endAt      = 6 * time.Second
	editSpread = time.Second
)

// killBrokerScript kills the instance that runs the broker of a failure domain.
func killBrokerScript(domain string) func(s *sim) {
	return func(s *sim) {
		s.after(removedAt, func() {
			id, _ := BrokerOf(simPool, domain, s.live())
			s.killInstances(func(e *simEntry) bool { return e.id == id }, 500*time.Millisecond)
		})
	}
}

// windowRow formats the result of a run in which a failure domain is removed and
// restored as a table row.
func (s *sim) windowRow() string {
	st := &s.stats
	return fmt.Sprintf("| %s | %.0f%% | %.1f | %.1f | %.1f | %.1f | %.1f | %d | %d | %d | %d |", s.policy, 100*s.load,
		s.p99Between(simWarmUp, removedAt), s.p99Between(removedAt, removedAt+editSpread), s.p99Between(removedAt+editSpread, restoredAt),
		s.p99Between(restoredAt, restoredAt+editSpread), s.p99Between(restoredAt+editSpread, endAt), st.refused, st.failed, st.duplicated, st.lost)
}

const windowHeader = "| policy | load | p99 before | while leaving | out | while returning | after | refused | failed | doubled | cut with their entry |"

// TestFailureDomainExperiment prints the tables for failure domains that are removed and restored.
func TestFailureDomainExperiment(t *testing.T) {
	if *experiment == 0 {
		t.Skip("run with -experiment 1s")
	}
	for _, name := range []string{"derwent", "kilimanjaro"} {
		fmt.Printf("\n%s\n%s\n", name, windowHeader)
		r := run{deployment: deployments[name], duration: endAt - simWarmUp, seed: 1, load: 0.7, adaptive: true}
		for _, policy := range append(BaselineNames(), "perfect", "broker") {
			var last time.Duration
			r.policy, r.script = policy, removeDomainScript("north-1", &last)
			s := runSim(r)
			fmt.Println("edit", s.windowRow(), "last new request after", last, s.stats.reasons)
		}
		for _, policy := range append(BaselineNames(), "broker") {
			r.policy, r.script = policy, killDomainScript("north-1")
			s := runSim(r)
			fmt.Println("loss", s.windowRow(), s.stats.reasons)
		}
		var last time.Duration
		home := r
		home.policy, home.script, home.homeRegions, home.load = "broker", removeDomainScript("north-1", &last), []string{"north"}, 0.45
		s := runSim(home)
		fmt.Println("home", s.windowRow(), "last", last, s.stats.reasons)
		for _, load := range []float64{0.5, 0.7, 0.85} {
			single := r
			single.policy, single.script, single.load = "broker", killBrokerScript("north-1"), load
			s = runSim(single)
			over := 0
			for _, u := range s.allUpstreams {
				over = max(over, u.maxJobs-u.slots)
			}
			fmt.Println("broker lost", s.windowRow(), "over slots", over, s.stats.reasons)
		}
		mixed := r
		mixed.policy, mixed.script, mixed.load, mixed.mixedClasses = "broker", removeDomainScript("north-1", &last), 0.9, true
		s = runSim(mixed)
		fmt.Println("classes", s.windowRow(), s.stats.classRefused, s.stats.reasons)
		for _, class := range []table.Class{table.ClassCritical, table.ClassNormal, table.ClassBulk} {
			fmt.Printf("%s: p99 before %.1f, out %.1f\n", class, s.p99Between(simWarmUp, removedAt, class), s.p99Between(removedAt, restoredAt, class))
		}
	}
}
