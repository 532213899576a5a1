package sampled

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// proberFunc implements Prober.
type proberFunc func(ctx context.Context, u table.Upstream) (Reading, error)

func (f proberFunc) Probe(ctx context.Context, _ *table.Pool, u table.Upstream) (Reading, error) {
	return f(ctx, u)
}

// answerAfter returns an answer with free slots after a time, or an error when ctx ends.
func answerAfter(ctx context.Context, u table.Upstream, d time.Duration) (Reading, error) {
	select {
	case <-time.After(d):
		return Reading{Upstream: u.ID, Healthy: true, Loaded: true, Slots: simSlots, Slowdown: 1}, nil
	case <-ctx.Done():
		return Reading{}, ctx.Err()
	}
}

// chooseWith places one request with the given deadline and returns how long that took.
func chooseWith(p *Policy, w *simWorld, deadline time.Duration, urgent bool) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(deadline))
	defer cancel()
	c, err := p.Choose(ctx, Request{Pool: &w.pool, Route: &w.route, Start: start, Urgent: urgent})
	if err == nil {
		c.Done(Succeeded, 0)
	}
	return time.Since(start), err
}

// Guards against refusals although upstreams have room, because a stall of this machine let all probes of a request time
// out, and against probes that are repeated with a timeout that a slow machine cannot meet.
func TestUnansweredProbesAreNoRefusal(t *testing.T) {
	const deadline = 3 * time.Second
	for _, c := range []struct {
		name         string
		stall, probe time.Duration // no probe is answered during the stall
	}{
		{"stall of 200 ms", 200 * time.Millisecond, time.Millisecond},
		{"stall of 700 ms", 700 * time.Millisecond, time.Millisecond},
		{"probes of 100 ms", 0, 100 * time.Millisecond},
		{"probes of 250 ms", 0, 250 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimWorld(4, 0)
				stallEnd := time.Now().Add(c.stall)
				p := New(Location{Region: "north", FailureDomain: "north-0"}, proberFunc(func(ctx context.Context, u table.Upstream) (Reading, error) {
					if time.Now().Before(stallEnd) {
						<-ctx.Done()
						return Reading{}, ctx.Err()
					}
					return answerAfter(ctx, u, c.probe)
				}), nil, logr.Discard())
				var running sync.WaitGroup
				for n := range 20 {
					running.Go(func() {
						time.Sleep(time.Duration(n) * 20 * time.Millisecond)
						if took, err := chooseWith(p, w, deadline, false); err != nil {
							t.Errorf("request %d was refused after %s: %v", n, took, err)
						}
					})
				}
				running.Wait()
			})
		})
	}
}

// Guards against requests that wait for upstreams although it is known that they cannot run them: when they are full, when
// they refuse connections, and when none has answered for maxSilence.
func TestKnownRefusalsAreNotDelayed(t *testing.T) {
	const deadline, soon = 3 * time.Second, simTarget / 2
	full := func(u table.Upstream) Reading {
		return Reading{Upstream: u.ID, Healthy: true, Loaded: true, Running: simSlots, Slots: simSlots, Slowdown: 1}
	}
	hang := func(ctx context.Context) (Reading, error) {
		<-ctx.Done()
		return Reading{}, ctx.Err()
	}
	for _, c := range []struct {
		name    string
		probe   proberFunc
		urgent  bool
		waiting time.Duration // time of the first requests, which may wait
	}{
		{"full", func(_ context.Context, u table.Upstream) (Reading, error) { return full(u), nil }, false, 0},
		{"down", func(context.Context, table.Upstream) (Reading, error) { return Reading{}, syscall.ECONNREFUSED }, false, 0},
		{"full, one silent", func(ctx context.Context, u table.Upstream) (Reading, error) {
			if u.ID == "u0" {
				return hang(ctx)
			}
			return full(u), nil
		}, false, 0},
		{"silent", func(ctx context.Context, _ table.Upstream) (Reading, error) { return hang(ctx) }, false, maxSilence},
		{"silent, second copy", func(ctx context.Context, _ table.Upstream) (Reading, error) { return hang(ctx) }, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimWorld(4, 0)
				p := New(Location{Region: "north", FailureDomain: "north-0"}, c.probe, nil, logr.Discard())
				const length = 6 * time.Second
				var mu sync.Mutex
				delayed := 0
				var running sync.WaitGroup
				for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
					running.Go(func() {
						time.Sleep(at)
						took, err := chooseWith(p, w, deadline, c.urgent)
						var refused *RefusedError
						if !errors.As(err, &refused) {
							t.Errorf("at %s: not refused: %v", at, err)
						}
						if took > soon && at >= c.waiting {
							mu.Lock()
							defer mu.Unlock()
							delayed++
						}
						if took > c.waiting+soon {
							t.Errorf("at %s: refused after %s", at, took)
						}
					})
				}
				running.Wait()
				is.True(delayed <= int((length-c.waiting)/silenceTrialInterval)) // the trials of a silent pool
				is.True(c.waiting > 0 || delayed == 0)
			})
		})
	}
}

// Guards against an instance that refuses all requests for good once its upstreams were out of reach, because its machine
// answers probes more slowly than the first timeout since then.
func TestSlowMachineServesAgainAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(4, 0)
		begin := time.Now()
		p := New(Location{Region: "north", FailureDomain: "north-0"}, proberFunc(func(ctx context.Context, u table.Upstream) (Reading, error) {
			if time.Since(begin) < 5*time.Second {
				<-ctx.Done()
				return Reading{}, ctx.Err()
			}
			return answerAfter(ctx, u, 100*time.Millisecond)
		}), nil, logr.Discard())
		var running sync.WaitGroup
		for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
			running.Go(func() {
				time.Sleep(at)
				if _, err := chooseWith(p, w, 3*time.Second, false); err != nil && at >= 7*time.Second {
					t.Errorf("refused at %s: %v", at, err)
				}
			})
		}
		running.Wait()
		is.True(!t.Failed())
	})
}

// Guards against upstreams that count as failing for seconds because one request repeated its unanswered probes.
func TestRepeatedProbesDoNotRaiseSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(4, 0)
		stallEnd := time.Now().Add(700 * time.Millisecond)
		p := New(Location{Region: "north", FailureDomain: "north-0"}, proberFunc(func(ctx context.Context, u table.Upstream) (Reading, error) {
			return answerAfter(ctx, u, time.Until(stallEnd))
		}), nil, logr.Discard())
		_, err := chooseWith(p, w, 3*time.Second, false)
		is.NoErr(err)
		for id := range w.servers {
			is.True(p.suspects.level(id, time.Now()) <= suspicionThreshold)
		}
	})
}
