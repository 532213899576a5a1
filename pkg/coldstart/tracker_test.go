package coldstart

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var ramp = Ramp{Allowance: 1, Answers: 8, Slots: 6}

// batchSender sends batches with correct sequence numbers and, by default, the current generation and level.
type batchSender struct {
	t   *Tracker
	now time.Time
	seq uint64
}

func newBatchSender() *batchSender {
	now := time.Unix(1000, 0)
	return &batchSender{t: NewTracker(DefaultSettings(), ramp, now), now: now}
}

func (f *batchSender) send(from peer.InstanceID, b Batch) {
	f.seq++
	f.now = f.now.Add(100 * time.Millisecond)
	b.Sequence = f.seq
	if b.Generation == 0 {
		b.Generation, b.Level = f.t.State().Generation, f.t.Limit()
	}
	f.t.Observe(f.now, from, b)
}

// newWarmSender returns a batchSender whose upstream is warm.
func newWarmSender() *batchSender {
	f := newBatchSender()
	for range 4 {
		f.send("a/1", Batch{StartID: "s1", Good: 8, Latency: 10 * time.Millisecond})
	}
	return f
}

// Guards against a ramp that skips a level, stops early or exceeds the slots.
func TestRampDoublesUpToTheSlots(t *testing.T) {
	is := is.New(t)
	f := newBatchSender()
	for _, want := range []int{1, 2, 4, 6} {
		is.Equal(f.t.Limit(), want)
		is.True(!f.t.State().Warm)
		f.send("a/1", Batch{Good: 7})
		is.Equal(f.t.Limit(), want) // one answer short
		f.send("b/1", Batch{Good: 1})
	}
	is.True(f.t.State().Warm)
}

// Guards against signs of a cold start that do not reset the limit to the allowance at
// once, and against ordinary batches that do.
func TestSignsOfAColdStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		batches []Batch
		want    Cause
	}{
		{"steady", []Batch{{StartID: "s1", Good: 8, Latency: 15 * time.Millisecond}}, ""},
		{"report header", []Batch{{StartID: "s1", Good: 1, ReportedCold: true}}, CauseHeader},
		{"new start ID", []Batch{{StartID: "s2", Good: 8}}, CauseStart},
		{"latency", []Batch{{Good: 8, Latency: 200 * time.Millisecond}, {Good: 8, Latency: 200 * time.Millisecond}}, CauseLatency},
		{"one slow batch", []Batch{{Good: 8, Latency: 200 * time.Millisecond}, {Good: 8, Latency: 10 * time.Millisecond}}, ""},
		{"few slow answers", []Batch{{Good: 3, Latency: time.Second}, {Good: 3, Latency: time.Second}}, ""},
		{"lost", []Batch{{Lost: true}}, CauseLost},
		{"lost after good answers", []Batch{{StartID: "s1", Good: 8, GoodAge: 300 * time.Millisecond, Lost: true}}, CauseLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newWarmSender()
			f.now = f.now.Add(time.Minute)
			for _, b := range c.batches {
				f.send("a/1", b)
			}
			is.Equal(f.t.State().Cause, c.want)
			is.Equal(f.t.State().Warm, c.want == "")
			if c.want != "" {
				is.Equal(f.t.Limit(), 1)
			}
		})
	}
}

// Guards against late answers of an earlier start that count as a new start.
func TestLateAnswersOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	f.send("a/1", Batch{StartID: "s2", Good: 1})
	afterReset := f.t.State()
	f.send("b/1", Batch{StartID: "s1", Good: 1})
	is.Equal(f.t.State(), afterReset)
}

// Guards against latency noise of a few milliseconds that resets a fast upstream to cold.
func TestRiseBelowTheFloor(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	f.t.baseline = 0.001
	for range 3 {
		f.send("a/1", Batch{Good: 8, Latency: 15 * time.Millisecond})
	}
	is.True(f.t.State().Warm)
}

// Guards against an upstream that stays warm after it has stopped, because the batch of
// each instance still contains good answers from before.
func TestLossAtEveryInstance(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	f.send("a/1", Batch{StartID: "s1", Good: 5, GoodAge: 100 * time.Millisecond, Lost: true})
	f.send("b/1", Batch{StartID: "s1", Good: 5, GoodAge: 200 * time.Millisecond, Lost: true})
	is.Equal(f.t.State().Cause, CauseLost)
	is.Equal(f.t.Limit(), 1)
}

// Guards against a loss that is dropped because another instance had a good answer
// shortly before and has sent nothing to the upstream since.
func TestLossWithoutLaterAnswers(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	f.send("b/1", Batch{StartID: "s1", Good: 5, GoodAge: 200 * time.Millisecond})
	f.send("a/1", Batch{StartID: "s1", Good: 5, GoodAge: 100 * time.Millisecond, Lost: true})
	is.True(f.t.State().Warm) // the answer of the other instance is recent
	f.now = f.now.Add(DefaultSettings().LossWindow.Std())
	f.send("a/1", Batch{StartID: "s1"}) // an empty batch, as sent to query the state
	is.Equal(f.t.State().Cause, CauseLost)
}

// Guards against a broken connection that makes an upstream cold although good
// answers follow.
func TestLossBeforeLaterAnswers(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	f.send("b/1", Batch{StartID: "s1", Good: 5})
	f.send("a/1", Batch{StartID: "s1", Lost: true})
	f.send("b/1", Batch{StartID: "s1", Good: 5})
	f.now = f.now.Add(2 * DefaultSettings().LossWindow.Std())
	f.send("a/1", Batch{StartID: "s1", Good: 1})
	is.True(f.t.State().Warm)
}

// Guards against a meter that treats its upstream as warm after a loss because the
// allocator, which has not yet evaluated the loss, still says so.
func TestMeterStaysColdUntilAnAnswerAfterTheLoss(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMeter(DefaultSettings())
	good := Answer{StartID: "s1", Good: true, Latency: time.Millisecond, At: now}
	warm := State{Warm: true, StartID: "s1", Generation: 7}
	take := func() Batch {
		now = now.Add(5 * time.Second)
		b, due := m.TakeBatch(now)
		is.True(due)
		return b
	}
	m.RecordAnswer(good)
	m.Apply(take().Sequence, warm)
	is.True(m.Warm())
	m.RecordAnswer(good)
	m.RecordLoss()
	b := take()
	is.True(b.Lost)
	is.Equal(b.Good, 1)
	m.Apply(b.Sequence, warm)
	is.True(!m.Warm())
	good.At = now
	m.RecordAnswer(good)
	b = take()
	is.True(!b.Lost)
	m.Apply(b.Sequence, warm)
	is.True(m.Warm())
}

// Guards against a partitioned instance that makes all others limit an upstream.
func TestLossAtOneInstanceOnly(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	f.send("b/1", Batch{StartID: "s1", Good: 1, Latency: 10 * time.Millisecond})
	f.send("c/1", Batch{Lost: true})
	is.True(f.t.State().Warm)
}

// Guards against a change of the allocator that resets every warm upstream to cold, and
// against a report of a warm state that is accepted after this allocator has seen a
// cold start.
func TestNewAllocatorAdoptsWarmState(t *testing.T) {
	is := is.New(t)
	f := newBatchSender()
	f.send("a/1", Batch{Generation: 5, StartID: "s1", KnownWarm: true, Good: 1})
	is.True(f.t.State().Warm)
	f.send("a/1", Batch{StartID: "s2", Good: 1})
	f.send("b/1", Batch{Generation: 5, StartID: "s2", KnownWarm: true, Good: 1})
	is.True(!f.t.State().Warm)
}

// Guards against repeated resets to cold after a permanent rise of the latency.
func TestLatencyPlateauIsAccepted(t *testing.T) {
	is := is.New(t)
	f := newWarmSender()
	resets := 0
	for range 2000 { // 200 s, several times LatencyPause
		before := f.t.State().Generation
		f.send("a/1", Batch{Good: 8, Latency: 100 * time.Millisecond})
		if f.t.State().Generation != before {
			resets++
		}
	}
	is.Equal(resets, 1)
	is.True(f.t.State().Warm)
}

// Guards against a limit that rises without enough good answers at the level below,
// for any sequence of duplicated, late or mixed batches.
func TestLimitRisesOnlyWithGoodAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newBatchSender()
		var sent []Batch
		fresh := 0 // good answers at the current level and generation, each counted once
		for range 200 {
			before := f.t.State()
			b := Batch{
				StartID: rapid.SampledFrom([]string{"", "s1", "s2", "s3"}).Draw(t, "start"),
				Good:    rapid.IntRange(0, 6).Draw(t, "good"), Bad: rapid.SampledFrom([]int{0, 0, 0, 1, 9}).Draw(t, "bad"),
				Generation: before.Generation, Level: max(1, before.Limit/rapid.IntRange(1, 2).Draw(t, "level")),
				ReportedCold: rapid.IntRange(0, 20).Draw(t, "cold") == 0,
				Lost:         rapid.IntRange(0, 20).Draw(t, "lost") == 0,
			}
			if len(sent) > 0 && rapid.IntRange(0, 2).Draw(t, "again") == 0 {
				f.t.Observe(f.now, "a/1", rapid.SampledFrom(sent).Draw(t, "late"))
			} else {
				f.send("a/1", b)
				b.Sequence = f.seq
				sent = append(sent, b)
				if b.Level >= before.Limit {
					fresh += b.Good
				}
			}
			after := f.t.State()
			if after.Limit < ramp.Allowance || after.Limit > ramp.Slots || after.Limit > 2*before.Limit {
				t.Fatalf("limit went from %d to %d", before.Limit, after.Limit)
			}
			if after.Limit > before.Limit && fresh < ramp.Answers {
				t.Fatalf("the limit rose after %d good answers", fresh)
			}
			if after.Generation != before.Generation && (after.Warm || after.Limit != ramp.Allowance) {
				t.Fatalf("the reset to cold left %+v", after)
			}
			if after.Limit != before.Limit || after.Generation != before.Generation {
				fresh = 0
			}
		}
	})
}
