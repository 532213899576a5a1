package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// Guards against a crashing request that a single instance sends to further upstreams after it is known to crash them.
func TestSingleInstanceSendsNoMoreCrashingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, err := NewService(Config{Settings: fleetSettings(), Log: logr.Discard()})
		is.NoErr(err)
		var among []Upstream
		for i := range 40 {
			among = append(among, Upstream{ID: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprintf("d%d", i)})
		}
		down := map[string]bool{}
		ran := 0
		for range 100 { // a caller every 10 ms
			time.Sleep(10 * time.Millisecond)
			v := s.Admit(time.Now(), path(0)) // a sample is always picked: there is one instance
			if v == Refuse || v == Hold {
				continue
			}
			avoid := map[string]bool{}
			if v != Run {
				for _, u := range s.Confine(path(0), among) {
					avoid[u.ID] = true
				}
			}
			for _, u := range among {
				if !down[u.ID] && !avoid[u.ID] {
					down[u.ID] = true
					ran++
					began := time.Now()
					time.AfterFunc(5*time.Millisecond, func() {
						s.RecordOutcome(time.Now(), began, u, path(0), Cut, nil)
						time.AfterFunc(20*time.Millisecond, func() { s.RecordRefusedConnection(time.Now(), u) })
					})
					break
				}
			}
		}
		t.Logf("%d upstreams were lost", ran)
		is.True(ran <= 4) // three, and one that ran beside the third
	})
}
