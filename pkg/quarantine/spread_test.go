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

// Guards against the cause of the day "deadly" (deploy/days): each of three instances has lost one upstream to a request, and
// none counts what the others have seen, so that the request goes on to further upstreams. The instances know one of them only.
func TestLossesOfSeveralInstancesCountTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := peertest.New(1)
		ids := []peer.InstanceID{"reader/1", "e1/1", "e2/1", "e3/1", "e4/1"}
		var services []*Service
		for i, id := range ids {
			known := ids[:1]
			if i == 0 {
				known = ids[1:]
			}
			s, err := NewService(Config{
				Transport: net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), InstancesIn: func([]string) []peer.InstanceID { return known },
				Forward: true, Settings: fleetSettings(), Log: logr.Discard(),
			})
			is.NoErr(err)
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		for u, s := range services[1:4] {
			is.True(s.Admit(time.Now(), path(0)) != Refuse)
			s.RecordOutcome(time.Now(), time.Now(), upstream(u), path(0), Cut, nil)
			s.RecordRefusedConnection(time.Now(), upstream(u))
			s.RecordOutcome(time.Now(), time.Now(), upstream(9), path(1), Completed, nil)
			time.Sleep(contactTime)
		}
		for _, s := range services {
			is.Equal(s.Admit(time.Now(), path(0)), Refuse)
			is.Equal(s.Admit(time.Now(), path(1)), Run)
		}
		cancel()
		synctest.Wait()
	})
}
