package rate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaseTime is the lifetime of tokens that are borrowed beforehand, from the time at which the request was sent.
	leaseTime = 500 * time.Millisecond
	// askTime is the lifetime of tokens for waiting requests, and the time limit of a call. It covers several round
	// trips between regions of 24 ms, and a pause of a machine with a fraction of a core.
	askTime = 150 * time.Millisecond
	// maxWait is the time for which a request waits for a token. It is shorter than askTime, so that a request that
	// waits gets the tokens of its own call.
	maxWait = 120 * time.Millisecond
	// standingTime is the time without a stamp after which a borrower uses its own share again, or gives it up to another
	// lender. It is the interruption that the death of a lender causes.
	standingTime = 2 * time.Second
	// standingMargin ends the standing of a borrower at the lender before the borrower uses its own share. It covers
	// the leases that the lender has just granted from that share, and the interval of scanInterval at which it looks.
	standingMargin = leaseTime + 50*time.Millisecond
	// scanInterval is the shortest time between two counts of the borrowers in good standing.
	scanInterval = 20 * time.Millisecond
	// lapseTime is the time without a statement of its role after which a lender does not trust it for lapseWait.
	lapseTime = time.Second
	// lapseWait is longer than the 2 s within which the role of an instance that was suspended is lost or confirmed: the
	// role is checked against the age of the store's data on the monotonic clock, which did not count the suspension.
	lapseWait = 2500 * time.Millisecond

	// callGap is the shortest time between two calls to one lender, which bounds an instance to 50 calls a second.
	callGap = 20 * time.Millisecond
	// renewAge is the age at which unused tokens are given back: early enough that the message arrives in time.
	renewAge = 300 * time.Millisecond
	// keepInterval is the longest time between two calls. A stamp is echoed in the call after the one that brought it, and
	// counts until the next: two intervals are less than standingTime - standingMargin.
	keepInterval = 650 * time.Millisecond
	// busyRate is the number of requests a second from which an instance borrows tokens beforehand. Below it, tokens
	// would mostly expire unused.
	busyRate = 1.0
	// demandTime is the time constant of the measured request rate.
	demandTime = 2 * time.Second
	// maxHold bounds the time for which an instance refuses requests after the lender had no token, since other
	// instances may give tokens back.
	maxHold = 250 * time.Millisecond
	// soonTime is the time until an expected token for which requests go on waiting instead of being refused.
	soonTime = 5 * time.Millisecond
	// longestWait bounds the stated time until a token is expected.
	longestWait = 5 * time.Second
	// avoidTime is the time until a lender that failed is probed while there is another. It doubles with each failure in
	// succession, up to maxAvoidTime.
	avoidTime    = 5 * time.Second
	maxAvoidTime = time.Minute
	// moveSpread is the time over which the borrowers move to a preferred lender, so that both have enough shares.
	moveSpread = 10 * time.Second
	// scarceTime is the time after a lender had no token for which requests that miss their target leave tokens to others.
	// It covers the pause between two requests of a workspace at one instance while the workspace floods.
	scarceTime = time.Second
	// maxBackoff bounds the pause after failed calls.
	maxBackoff = time.Second

	// maxNames bounds the workspaces that a lender or borrower knows.
	maxNames = 16384
	// maxBorrowers bounds the borrowers that a lender knows.
	maxBorrowers = 8192
	// borrowerMemory is the time for which a lender remembers a silent borrower.
	borrowerMemory = 10 * time.Second
	// maxTokens bounds the tokens of one request, so that a defective message cannot overflow the sums.
	maxTokens = 1 << 20
	// slackShare is the part of the slack that adds to bursts. The rest covers instances that have joined and are not
	// yet in the recorded number.
	slackShare = 0.75
)

// Limit is the limit of one workspace.
type Limit struct {
	Name string
	// Rate is the number of requests per second.
	Rate float64
	// Burst is the number of requests above Rate that may come at once. A limit without one allows single requests.
	Burst float64
}

func (l Limit) burst() float64 { return max(l.Burst, 1) }

// Rules are the permitted deviations from a limit: in a window, (rate x window + burst) x (1 + Overage) + Slack
// requests may be sent. Without a window, both are taken as zero.
type Rules struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// overage returns the part by which a bucket may exceed its share. The rest of Overage covers the time for which
// waiting requests use their tokens after they were granted.
func (r Rules) overage() float64 {
	if r.Window <= 0 {
		return 0
	}
	return max(r.Overage-askTime.Seconds()/r.Window.Seconds(), 0)
}

func (r Rules) slack() float64 {
	if r.Window <= 0 {
		return 0
	}
	return max(r.Slack, 0) * slackShare
}

// Reading is a reading of both clocks, as times since the start of the process. The monotonic clock stands still while
// a process is suspended; the wall clock may be set.
type Reading struct{ Mono, Wall time.Duration }

// Add returns the reading d later.
func (r Reading) Add(d time.Duration) Reading { return Reading{r.Mono + d, r.Wall + d} }

// longest returns the time from a reading to another by the clock that shows more. It ends permissions.
func longest(from, to Reading) time.Duration { return max(to.Mono-from.Mono, to.Wall-from.Wall) }

// shortest returns the time from a reading to another by the clock that shows less. It starts permissions.
func shortest(from, to Reading) time.Duration { return min(to.Mono-from.Mono, to.Wall-from.Wall) }

// Order returns the regions in the order in which a name prefers them, by rendezvous hashing. All instances must have
// the same regions.
func Order(name string, regions []string) []string {
	return slices.SortedFunc(slices.Values(regions), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b+"\x00"+name), xxhash.Sum64String(a+"\x00"+name)), cmp.Compare(a, b))
	})
}

// Region returns the region to which a workspace belongs: its granter preferably lends the tokens.
func Region(workspace string, regions []string) string {
	var best string
	var highest uint64
	for _, r := range regions {
		if h := xxhash.Sum64String(r + "\x00" + workspace); best == "" || h > highest || h == highest && r < best {
			best, highest = r, h
		}
	}
	return best
}

// tickInterval is the time between two looks at the configuration, the roles and the number of instances.
const tickInterval = 100 * time.Millisecond

// idleTickInterval replaces tickInterval while no workspace has a limit and no tokens are lent. Each wake-up costs
// processor time, also in deployments that limit nobody.
const idleTickInterval = time.Second
