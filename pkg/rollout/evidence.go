package rollout

import (
	"cmp"
	"math"
	"slices"
)

// Counts are the ended attempts at the upstreams of a version.
type Counts struct {
	// Answers counts the attempts that say something about the version, and Failures those of them that failed.
	Answers, Failures int
	// Timed counts the attempts whose time says something about the version, and Slow those of them that were slow.
	Timed, Slow int
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failures + o.Failures, c.Timed + o.Timed, c.Slow + o.Slow}
}

// minus returns the difference, or all of c if o is not an earlier state of it.
func (c Counts) minus(o Counts) Counts {
	if o.Answers > c.Answers || o.Failures > c.Failures || o.Timed > c.Timed || o.Slow > c.Slow {
		return c
	}
	return Counts{c.Answers - o.Answers, c.Failures - o.Failures, c.Timed - o.Timed, c.Slow - o.Slow}
}

// Bad returns the number of bad answers.
func (c Counts) Bad() int { return c.Failures + c.Slow }

// Pair holds the counts of both versions on one route.
type Pair struct{ Old, Target Counts }

// Evidence is what is known of both versions.
type Evidence struct {
	// Routes holds the counts by route.
	Routes map[string]Pair
	// Upstreams holds the counts of upstreams of the target version, at least of those with the most bad answers.
	Upstreams map[string]Counts
}

func newEvidence() Evidence {
	return Evidence{Routes: map[string]Pair{}, Upstreams: map[string]Counts{}}
}

// add adds what is in next and not in last.
func (e *Evidence) add(next, last Evidence) {
	for route, p := range next.Routes {
		old, sum := last.Routes[route], e.Routes[route]
		e.Routes[route] = Pair{sum.Old.plus(p.Old.minus(old.Old)), sum.Target.plus(p.Target.minus(old.Target))}
	}
	for id, c := range next.Upstreams {
		e.Upstreams[id] = e.Upstreams[id].plus(c.minus(last.Upstreams[id]))
	}
}

// total returns the counts of all routes.
func (e *Evidence) total() (all Pair) {
	for _, p := range e.Routes {
		all = Pair{all.Old.plus(p.Old), all.Target.plus(p.Target)}
	}
	return all
}

const (
	// condemnBelow is the probability of evidence, if the versions were equal, below which a version is condemned. A roll-out has
	// about 100 independent looks (counts of 3 s, two kinds of bad answers, ten routes), so a good version is condemned
	// in about 1 of 1,000.
	condemnBelow = 1e-5
	// remainBelow is the probability below which evidence must stay without the worst quarter of the upstreams.
	remainBelow = 1e-3
	// suspectBelow is the probability below which the next stage has to wait.
	suspectBelow = 2e-3
	// minFailureExcess and minSlowExcess are by how much the share of bad answers must exceed that of the old version.
	// Large numbers make small differences certain, such as those of a version with fewer upstreams near each caller.
	minFailureExcess = 0.02
	minSlowExcess    = 0.1
	// worstShare is the share of the upstreams whose bad answers may have another cause than the version: a quarter has a
	// noisy neighbour at any time, and some are killed.
	worstShare = 0.25
	// maxWorst bounds them: among many upstreams, the old version's answers show the noise, and faults that are rare at each
	// upstream must not be left out altogether.
	maxWorst = 6
)

// finding is the result of a comparison.
type finding int

const (
	inconspicuous finding = iota
	suspicious
	condemned
)

// compare returns the worst finding of all routes and of their sum. used is the number of upstreams that the
// target version has in use.
func (e *Evidence) compare(used int) (worst finding, reason string) {
	failed := worstOf(e.Upstreams, used, func(c Counts) (int, int) { return c.Failures, c.Answers })
	slow := worstOf(e.Upstreams, used, func(c Counts) (int, int) { return c.Slow, c.Timed })
	look := func(what string, p Pair) {
		if f := judge(sample{p.Target.Failures, p.Target.Answers}, sample{p.Old.Failures, p.Old.Answers}, failed, minFailureExcess); f > worst {
			worst, reason = f, what+": failures"
		}
		if f := judge(sample{p.Target.Slow, p.Target.Timed}, sample{p.Old.Slow, p.Old.Timed}, slow, minSlowExcess); f > worst {
			worst, reason = f, what+": slow answers"
		}
	}
	look("all routes", e.total())
	for route, p := range e.Routes {
		look("route "+route, p)
	}
	return worst, reason
}

// sample is a number of answers of which some are bad.
type sample struct{ bad, all int }

// worstOf returns the answers of the upstreams with the most bad ones, whose cause may not be the version.
func worstOf(upstreams map[string]Counts, used int, of func(Counts) (bad, all int)) (sum sample) {
	list := make([]sample, 0, len(upstreams))
	for _, c := range upstreams {
		bad, all := of(c)
		list = append(list, sample{bad, all})
	}
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(b.bad, a.bad) })
	n := min(max(int(math.Ceil(worstShare*float64(used))), 1), maxWorst)
	for _, k := range list[:min(n, len(list))] {
		sum.bad += k.bad
		sum.all += k.all
	}
	return sum
}

// judge compares the answers of the target version with those of the old one. worst are those that may have another cause;
// they are of all routes, so that some of them may not be among the answers of the target.
func judge(target, old, worst sample, minExcess float64) finding {
	if target.bad < 2 || float64(target.bad)/float64(target.all) < float64(old.bad)/float64(max(old.all, 1))+minExcess {
		return inconspicuous
	}
	p := fisher(target.bad, target.all, old.bad, old.all)
	rest := sample{target.bad - worst.bad, target.all - worst.all}
	rest.all = max(rest.all, rest.bad, target.all/4)
	switch {
	case p < condemnBelow && rest.bad > 0 && fisher(rest.bad, rest.all, old.bad, old.all) < remainBelow:
		return condemned
	case p < suspectBelow:
		return suspicious
	}
	return inconspicuous
}

// fisher returns the probability that k1 or more of the k1+k0 bad answers are among n1 of all n1+n0 answers if the versions are
// equal (Fisher's exact test, one-sided).
func fisher(k1, n1, k0, n0 int) float64 {
	bad, all := k1+k0, n1+n0
	logOf := func(k int) float64 { return logBinomial(n1, k) + logBinomial(n0, bad-k) - logBinomial(all, bad) }
	sum := 0.0
	for k := k1; k <= min(bad, n1); k++ {
		term := math.Exp(logOf(k))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

func logBinomial(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
