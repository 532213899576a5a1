package rate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// Guards against refusals after the wall clock was set back, which last until it has caught up, and against a correction
// that hides a step forward.
func TestWallClockSetBack(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer func() {
					cancel()
					time.Sleep(time.Minute) // calls end
				}()
				limit := Limit{"w", 20, 2}
				s := NewService(Config{
					Roles: Alone{}, Region: "north", Instances: func() int { return 1 },
					Limits: func() []Limit { return []Limit{limit} }, Log: logr.Discard(),
				})
				var shift atomic.Int64
				s.read = func() Reading {
					r := s.readClocks()
					r.Wall += time.Duration(shift.Load())
					return r
				}
				go func() { _ = s.Run(ctx) }()
				count := func() (admitted int) {
					for range 15 {
						time.Sleep(100 * time.Millisecond)
						if _, _, ok := s.Admit(ctx, limit, false); ok {
							admitted++
						}
					}
					return admitted
				}
				time.Sleep(20 * time.Second)
				for range 4 {
					count()
				}
				before := s.clock()
				shift.Add(-int64(step))
				is.Equal(s.clock(), before)
				got := count()
				t.Logf("%d of 15 requests admitted in the 1.5 s after the step", got)
				is.True(got >= 13)
				before = s.clock()
				shift.Add(int64(step))
				is.Equal(s.clock().Wall-before.Wall, step) // as after a suspension
			})
		})
	}
}

// Guards against expired tokens that are spent by requests which waited for the lock while the process was suspended.
func TestSuspendedWhileWaitingForTheLock(t *testing.T) {
	is := is.New(t)
	limit := Limit{"w", 10, 10}
	s := NewService(Config{
		Roles: Alone{}, Region: "north", Instances: func() int { return 1 },
		Limits: func() []Limit { return []Limit{limit} }, Log: logr.Discard(),
	})
	var suspended atomic.Int64
	s.read = func() Reading {
		r := s.readClocks()
		r.Wall += time.Duration(suspended.Load())
		return r
	}
	s.mu.Lock()
	s.tickBorrower()
	a := s.borrower.accounts["w"]
	a.batches = append(a.batches, &batch{sent: s.clock(), lifetime: time.Minute, left: 1, reported: 1})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = s.Admit(context.Background(), limit, false)
	}()
	time.Sleep(100 * time.Millisecond) // Admit reaches the lock
	suspended.Store(int64(time.Hour))
	s.mu.Unlock()
	<-done
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.borrower.Stats().Borrowed, uint64(0))
	is.Equal(s.borrower.Stats().Expired, uint64(1))
}
