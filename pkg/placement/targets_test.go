package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// productRun returns a run of the "broker" policy with adaptive limits, short enough
// for regular tests.
func productRun(d deployment, load float64) run {
	return run{deployment: d, policy: "broker", load: load, adaptive: true, duration: 3 * time.Second, seed: 1}
}

// eachDeployment runs the check for all deployments in parallel.
func eachDeployment(t *testing.T, check func(t *testing.T, d deployment)) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, d)
		})
	}
}

// Guards against a tail latency more than 15% above that of a policy with perfect information.
func TestTailLatencyTarget(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.7, 0.85, 0.95} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			eachDeployment(t, func(t *testing.T, d deployment) {
				r := productRun(d, load)
				ours := runSim(r)
				r.policy = "perfect"
				perfect := runSim(r).p99()
				t.Logf("p99 %.1f ms, perfect information %.1f ms, ratio %.3f", ours.p99(), perfect, ours.p99()/perfect)
				is := is.New(t)
				is.True(ours.p99() <= 1.15*perfect)
				is.Equal(ours.stats.refused+ours.stats.failed+ours.stats.duplicated, 0)
				for _, u := range ours.allUpstreams {
					is.True(u.maxJobs <= u.slots)
				}
			})
		})
	}
}

// Guards against hedges that do not reduce the tail latency or that exceed their budget.
func TestHedgingTarget(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.7, 0.85} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			eachDeployment(t, func(t *testing.T, d deployment) {
				r := productRun(d, load)
				plain := runSim(r)
				r.hedge = true
				hedged := runSim(r)
				r.policy = "perfect"
				r.hedge = false
				perfect := runSim(r).p99()
				copies := float64(hedged.stats.hedges) / float64(hedged.stats.requests)
				t.Logf("p99 %.1f ms, perfect information %.1f ms, copies %.1f%%, slot time %.2f -> %.2f ms", hedged.p99(), perfect, 100*copies, plain.slotTime(), hedged.slotTime())
				is := is.New(t)
				is.True(hedged.p99() < perfect)
				is.True(copies <= 0.05)
				is.True(hedged.slotTime() <= 1.05*plain.slotTime())
				is.Equal(hedged.stats.duplicated+hedged.stats.failed, 0)
			})
		})
	}
}

// domainRemovalRun returns a run in which a failure domain is removed and restored.
func domainRemovalRun(d deployment, load float64, last *time.Duration) run {
	r := productRun(d, load)
	r.duration, r.script = endAt-simWarmUp, removeDomainScript("north-1", last)
	return r
}

// Guards against failures and duplicated requests while a failure domain is removed
// at a load of 70% of all slots, and against new requests in it after all instances
// have applied the edit.
func TestFailureDomainLeavesAndReturns(t *testing.T) {
	t.Parallel()
	eachDeployment(t, func(t *testing.T, d deployment) {
		is := is.New(t)
		var last time.Duration
		s := runSim(domainRemovalRun(d, 0.7, &last))
		t.Log(s.windowRow(), "last new request after", last)
		is.Equal(s.stats.refused+s.stats.failed+s.stats.duplicated, 0)
		is.True(last < editSpread)
	})
}

// Guards against failures of a route whose home region loses one of its two failure
// domains at a load of 45% of the region's slots.
func TestHomeRegionLosesAFailureDomain(t *testing.T) {
	t.Parallel()
	eachDeployment(t, func(t *testing.T, d deployment) {
		is := is.New(t)
		var last time.Duration
		r := domainRemovalRun(d, 0.45, &last)
		r.homeRegions = []string{"north"}
		s := runSim(r)
		t.Log(s.windowRow())
		is.Equal(s.stats.refused+s.stats.failed+s.stats.duplicated, 0)
		for _, u := range s.allUpstreams {
			is.True(u.location.regionName() == "north" || u.busy == 0)
		}
	})
}

// Guards against refusals of the higher classes, and against an increase of their
// tail latency, when the remaining capacity is insufficient for all requests.
func TestSurplusIsRefusedByClass(t *testing.T) {
	t.Parallel()
	eachDeployment(t, func(t *testing.T, d deployment) {
		is := is.New(t)
		var last time.Duration
		r := domainRemovalRun(d, 0.9, &last)
		r.mixedClasses = true
		s := runSim(r)
		before := s.p99Between(simWarmUp, removedAt, table.ClassCritical, table.ClassNormal)
		out := s.p99Between(removedAt, restoredAt, table.ClassCritical, table.ClassNormal)
		t.Logf("p99 of critical and normal requests %.1f ms before, %.1f ms out; refused %v", before, out, s.stats.classRefused)
		is.True(s.stats.classRefused[table.ClassBulk] > 0)
		is.Equal(s.stats.classRefused[table.ClassCritical]+s.stats.classRefused[table.ClassNormal]+s.stats.failed, 0)
		is.True(out <= 1.25*before)
	})
}
