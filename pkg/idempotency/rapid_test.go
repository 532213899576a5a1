package idempotency

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// TestMain fixes the seed, so that every run explores the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20260607", "rapid.checks": "1500", "rapid.steps": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "2s",
	} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const testWindow = time.Minute

// node is one simulated instance: a replica with its view core, and a claimant.
type node struct {
	view.Instance
	core    *view.Core
	replica *Replica
	rate    float64
	paused  bool
	crashed bool
}

// job is one claim of a claimant and, once its request was sent, the run of that request.
type job struct {
	claimant *node
	attempt  *attempt
	refresh  *attempt
	ending   *endReplication
	sent     bool
	ran      bool
	finished time.Duration // simulated time of the end, or 0
	// lastContact is the simulated time of the claimant's last message that reached a write quorum.
	lastContact time.Duration
	// protected is the simulated time until which no other claim of the key may win.
	protected time.Duration
}

// simulation runs the instances of one region with clock drift, faults, and messages
// that are delayed, lost, duplicated and reordered.
type simulation struct {
	rt          *rapid.T
	nodes       []*node
	jobs        []*job
	stored      view.View
	elapsed     time.Duration
	messages    []func()
	started     int
	partitioned bool // whether messages between failure domains are lost
	coverage    *coverageCounts
}

// coverageCounts counts the cases that the histories reached, so that the test fails if a case never occurs.
type coverageCounts struct{ Won, Ran, Proved, Answered, Held, Durable, Opened, Split, Stale, Full, Expired, Late int }

func (r *simulation) start() {
	r.started++
	n := &node{rate: rapid.Float64Range(0.9951, 1.0049).Draw(r.rt, "rate")}
	n.Instance = view.Instance{ID: peer.InstanceID(fmt.Sprintf("i%d/1", r.started)), Region: "north", FailureDomain: []string{"a", "b"}[r.started%2]}
	limit := int64(DefaultMemory)
	if r.started%3 == 0 {
		limit = 4 * claimCost
	}
	n.replica = newReplica("north", limit, r.clock(n), 2)
	n.core = view.NewCore(n.ID, time.Second, n.replica)
	r.nodes = append(r.nodes, n)
}

func (r *simulation) clock(n *node) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(r.elapsed) * n.rate))
}

func (r *simulation) randomNode() *node {
	return r.nodes[rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, "node")]
}

func (r *simulation) oneIn(n int) bool { return rapid.IntRange(1, n).Draw(r.rt, "rarely") == n }

func (r *simulation) find(id peer.InstanceID) *node {
	for _, n := range r.nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// send queues a call. The reply is queued as a separate message.
func (r *simulation) send(from *node, to peer.InstanceID, call func(*node) func()) {
	r.messages = append(r.messages, func() {
		n := r.find(to)
		if n == nil || n.paused || r.partitioned && n.FailureDomain != from.FailureDomain {
			return
		}
		if reply := call(n); reply != nil {
			r.messages = append(r.messages, func() {
				if !from.paused && !from.crashed {
					reply()
				}
			})
		}
	})
}

func (r *simulation) claim(*rapid.T) {
	n := r.randomNode()
	v := n.core.View()
	if n.paused || v.Epoch == 0 || len(r.jobs) > 60 {
		return
	}
	key := recordKey{byte(rapid.IntRange(0, 1).Draw(r.rt, "key"))}
	m := claimMessage{
		epoch: v.Epoch, key: key, id: claimID{n.ID, uint64(len(r.jobs) + 1)}, window: testWindow,
		query: rapid.IntRange(0, 5).Draw(r.rt, "query") == 0,
	}
	j := &job{claimant: n, attempt: newAttempt(m, v.Group, r.clock(n)), lastContact: r.elapsed}
	r.jobs = append(r.jobs, j)
	r.sendClaim(j, j.attempt)
}

func (r *simulation) sendClaim(j *job, a *attempt) {
	data, err := proto.Marshal(a.message.proto("north"))
	if err != nil {
		r.rt.Fatal(err)
	}
	for _, member := range a.group.Members {
		r.send(j.claimant, member.ID, func(n *node) func() {
			reply, err := n.replica.handleClaim(r.clock(n), data)
			if err != nil {
				r.rt.Fatal(err)
			}
			return func() {
				before := a.status()
				a.reply(member.ID, claimReplyOf(reply.(*peerpb.ClaimReply)))
				if before != won && a.status() == won {
					r.checkWin(j, a)
				}
			}
		})
	}
}

// claimAndDeliver makes a claim and delivers most of its messages immediately by flush, so
// that many claims win between the faults.
func (r *simulation) claimAndDeliver(t *rapid.T) {
	before, jobs := len(r.messages), len(r.jobs)
	r.claim(t)
	r.flush(before)
	for len(r.jobs) > jobs && !r.oneIn(3) {
		r.step(r.jobs[jobs])
		r.flush(before)
	}
}

// flush delivers the messages beyond the first n, newest first, and postpones a few of them.
func (r *simulation) flush(n int) {
	for len(r.messages) > n {
		last := len(r.messages) - 1
		message := r.messages[last]
		r.messages = r.messages[:last]
		if r.oneIn(12) {
			r.messages = append([]func(){message}, r.messages...)
			n++
			continue
		}
		message()
	}
}

// checkWin checks that no claim wins while an earlier run of the key is protected.
func (r *simulation) checkWin(j *job, a *attempt) {
	if j.ending != nil {
		return
	}
	if a == j.refresh {
		j.lastContact = r.elapsed - r.clock(j.claimant).Sub(a.started)*101/100
		return
	}
	r.coverage.Won++
	for _, other := range r.jobs {
		if other != j && other.attempt.message.key == a.message.key && other.ran && r.elapsed < other.protected {
			r.rt.Fatalf("claim %v won at %s, but claim %v ran and is protected until %s", a.message.id, r.elapsed, other.attempt.message.id, other.protected)
		}
	}
}

func (r *simulation) recentJob() *job {
	if len(r.jobs) == 0 {
		return nil
	}
	back := min(len(r.jobs), 6)
	return r.jobs[len(r.jobs)-rapid.IntRange(1, back).Draw(r.rt, "job")]
}

// stepJob advances a recent job by one step.
func (r *simulation) stepJob(*rapid.T) {
	if j := r.recentJob(); j != nil {
		r.step(j)
	}
}

func (r *simulation) step(j *job) {
	if j.claimant.paused || j.claimant.crashed || j.ending != nil || j.attempt.message.query {
		return
	}
	status := j.attempt.status()
	r.countStatus(j, status)
	switch {
	case j.sent && j.ran:
		r.finish(j, rapid.SampledFrom([]state{stateDone, stateDone, stateUnknown}).Draw(r.rt, "end"))
	case j.sent:
		// The upstream proved that the request did not run.
		r.coverage.Proved++
		r.finish(j, stateReleased)
	case status == won && !j.attempt.maySend(r.clock(j.claimant)):
		r.coverage.Late++
		j.attempt.abandon()
		r.finish(j, stateReleased)
	case status == won:
		r.run(j)
	case status != pending || r.oneIn(5):
		j.attempt.abandon()
		r.finish(j, stateReleased)
	}
}

func (r *simulation) run(j *job) {
	j.sent, j.ran = true, rapid.IntRange(0, 3).Draw(r.rt, "ran") > 0
	if !j.ran {
		return
	}
	r.coverage.Ran++
	for _, other := range r.jobs {
		if other != j && other.attempt.message.key == j.attempt.message.key && other.ran && r.elapsed < other.protected {
			r.rt.Fatalf("key %v ran twice: by %v and by %v", j.attempt.message.key[0], other.attempt.message.id, j.attempt.message.id)
		}
	}
	j.protected = r.elapsed + testWindow
}

func (r *simulation) finish(j *job, s state) {
	if s == stateReleased && j.ran {
		r.rt.Fatalf("claim %v is released as not-run, but ran", j.attempt.message.id)
	}
	m := endOf(j.attempt.message, s)
	if s == stateDone {
		m.kept, m.answer = true, []byte(fmt.Sprint(m.id))
	}
	j.ending, j.finished = newEndReplication(m), r.elapsed
	if j.ran && r.elapsed <= j.lastContact+testWindow/refreshesPerWindow {
		j.protected = r.elapsed + testWindow
	}
	r.sendEnd(j)
}

func (r *simulation) sendEnd(j *job) {
	j.ending.setGroup(j.claimant.core.View().Group)
	_, message := j.ending.message.proto("north")
	data, err := proto.Marshal(message)
	if err != nil {
		r.rt.Fatal(err)
	}
	sent := j.ending.message.epoch
	for _, id := range j.ending.unacknowledged() {
		r.send(j.claimant, id, func(n *node) func() {
			handle := n.replica.handleComplete
			if j.ending.message.state == stateReleased {
				handle = n.replica.handleRelease
			}
			reply, err := handle(r.clock(n), data)
			if err != nil {
				r.rt.Fatal(err)
			}
			return func() { r.endAcknowledged(j, id, sent, reply.(*peerpb.EndReply).GetEpoch()) }
		})
	}
}

func (r *simulation) endAcknowledged(j *job, from peer.InstanceID, sent, epoch uint64) {
	durable := j.ending.durable
	j.ending.ack(from, sent, epoch)
	if j.ending.durable && !durable {
		r.coverage.Durable++
		if j.ran {
			j.protected = max(j.protected, j.finished+testWindow)
		}
	}
}

// resend sends the end of a claim again, or refreshes a claim that has not ended.
func (r *simulation) resend(*rapid.T) {
	j := r.recentJob()
	if j == nil || j.claimant.paused || j.claimant.crashed || j.attempt.message.query {
		return
	}
	if j.ending != nil {
		r.sendEnd(j)
		return
	}
	v := j.claimant.core.View()
	if j.attempt.status() != won || len(v.Members) == 0 {
		return
	}
	m := j.attempt.message
	m.epoch = v.Epoch
	j.refresh = newAttempt(m, v.Group, r.clock(j.claimant))
	r.sendClaim(j, j.refresh)
}

// forwardReleases sends releases to the members that missed them.
func (r *simulation) forwardReleases(*rapid.T) {
	j := r.recentJob()
	if j == nil || j.claimant.crashed {
		return
	}
	for id, members := range j.attempt.missedReleases() {
		m := endOf(j.attempt.message, stateReleased)
		m.id = id
		for _, to := range members {
			r.send(j.claimant, to, func(n *node) func() { n.replica.end(r.clock(n), m); return nil })
		}
	}
}

// countStatus counts the status and checks that a stored answer belongs to a run of the same key.
func (r *simulation) countStatus(j *job, s status) {
	switch s {
	case answered:
		r.coverage.Answered++
		if a := j.attempt.answer(); a.kept && !r.isAnswer(j.attempt.message.key, a.answer) {
			r.rt.Fatalf("claim %v got the answer %q, which no run of its key gave", j.attempt.message.id, a.answer)
		}
	case held:
		r.coverage.Held++
		if j.attempt.has(peerpb.ClaimReply_VERDICT_GRANTED) {
			r.coverage.Split++
		}
	case stale:
		r.coverage.Stale++
	case full:
		r.coverage.Full++
	}
}

func (r *simulation) isAnswer(key recordKey, answer []byte) bool {
	for _, j := range r.jobs {
		if j.ran && j.attempt.message.key == key && bytes.Equal(answer, []byte(fmt.Sprint(j.attempt.message.id))) {
			return true
		}
	}
	return false
}

func (r *simulation) deliver(*rapid.T) {
	for range rapid.IntRange(1, 32).Draw(r.rt, "messages") {
		if len(r.messages) == 0 {
			return
		}
		i := rapid.IntRange(0, len(r.messages)-1).Draw(r.rt, "message")
		message := r.messages[i]
		fate := rapid.IntRange(0, 11).Draw(r.rt, "fate")
		if fate != 1 { // 1 duplicates the message
			r.messages[i] = r.messages[len(r.messages)-1]
			r.messages = r.messages[:len(r.messages)-1]
		}
		if fate != 0 { // 0 drops the message
			message()
		}
	}
}
