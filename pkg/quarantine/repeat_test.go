package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
)

// Guards against an answer that another instance repeats with a later time and that then clears the losses after it.
func TestRepeatedAnswerDoesNotClearLaterLosses(t *testing.T) {
	for _, latency := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				net := peertest.New(1)
				net.SetLatency(func(_, _ peer.InstanceID) time.Duration { return latency })
				ids := []peer.InstanceID{"e0/1", "e1/1"}
				var services []*Service
				for i, id := range ids {
					s, err := NewService(Config{
						Transport: net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), InstancesIn: func([]string) []peer.InstanceID { return ids[1-i : 2-i] },
						Settings: fleetSettings(), Log: logr.Discard(),
					})
					is.NoErr(err)
					services = append(services, s)
					go func() { _ = s.Run(ctx) }()
				}
				lose := func(s, u int) {
					services[s].RecordOutcome(time.Now(), time.Now().Add(-time.Millisecond), upstream(u), path(0), Cut, nil)
					services[s].RecordRefusedConnection(time.Now(), upstream(u))
				}
				lose(0, 0)
				time.Sleep(time.Second)
				services[0].RecordOutcome(time.Now(), time.Now(), upstream(9), path(0), Completed, nil)
				time.Sleep(3 * time.Millisecond)
				for u := 1; u <= 3; u++ { // after the answer, one after the other
					lose(0, u)
					time.Sleep(3 * time.Millisecond)
				}
				is.True(!services[0].RefusedUntil(path(0)).IsZero())
				time.Sleep(2 * latency)
				lose(1, 5) // another instance loses one, too
				time.Sleep(2 * time.Second)
				for i, s := range services {
					if v := s.Admit(time.Now(), path(0)); v != Refuse {
						t.Errorf("e%d: verdict %d in place of %d", i, v, Refuse)
					}
				}
			})
		})
	}
}

// Guards against refusals that are dropped by the receiver of a report with too many items.
func TestReportIsNotLongerThanItsReceiverReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		net := peertest.New(1)
		ids := []peer.InstanceID{"e0/1", "e1/1"}
		var present []peer.InstanceID
		var services []*Service
		for i, id := range ids {
			cfg := fleetSettings()
			s, err := NewService(Config{
				Transport: net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)),
				InstancesIn: func([]string) []peer.InstanceID {
					if i == 0 {
						return present
					}
					return ids[:1]
				},
				Forward: true, Settings: cfg, Log: logr.Discard(),
			})
			is.NoErr(err)
			services = append(services, s)
		}
		s := services[0]
		refused := map[Fingerprint]time.Time{}
		for i := range 300 {
			refused[fingerprint(10000+i)] = time.Now().Add(30 * time.Second)
		}
		s.mu.Lock()
		for f, until := range refused {
			s.table.RecordRefusal(time.Now(), f, time.Until(until), nil) // known from the store
		}
		s.mu.Unlock()
		time.Sleep(time.Second)
		for u := range 600 {
			now := time.Now()
			s.mu.Lock()
			f := fingerprint(100 + u)
			l := Loss{Upstream: uint64(u + 1), At: now}
			s.countLoss(now, f, l, nil)
			s.table.RecordSuccess(now, f, now, nil)
			s.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
		for u := range 600 {
			now := time.Now()
			s.mu.Lock()
			f := fingerprint(100 + u)
			l := Loss{Upstream: uint64(u + 1), At: now}
			if s.countLoss(now, f, l, nil) {
				s.enqueue(now, event{f: f, loss: l})
			}
			s.mu.Unlock()
		}
		present = ids[1:]
		for _, s := range services {
			go func() { _ = s.Run(ctx) }()
		}
		time.Sleep(3 * time.Second)
		is.Equal(len(services[0].Refusals(time.Now())), 300)
		got := 0
		for f := range refused {
			services[1].mu.RLock()
			known := services[1].table.Known(f)
			services[1].mu.RUnlock()
			if known {
				got++
			}
		}
		is.Equal(got, 300)
	})
}
