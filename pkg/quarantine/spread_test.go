package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

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

// lossyTransport loses the calls that begin while lossy is set.
type lossyTransport struct {
	peer.Transport
	lossy *atomic.Bool
}

func (f lossyTransport) Call(ctx context.Context, to peer.InstanceID, service string, request, response proto.Message) error {
	if f.lossy.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.Transport.Call(ctx, to, service, request, response)
}

// Guards against a refusal by an instance that has learned of the losses before and after an answer, but not yet of the
// answer, whose report was lost.
func TestLossDoesNotOvertakeTheAnswerBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := peertest.New(1)
		ids := []peer.InstanceID{"e0/1", "e1/1"}
		var lossy atomic.Bool
		var services []*Service
		for i, id := range ids {
			s, err := NewService(Config{
				Transport:   lossyTransport{net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), &lossy},
				InstancesIn: func([]string) []peer.InstanceID { return ids[1-i : 2-i] }, Settings: fleetSettings(), Log: logr.Discard(),
			})
			is.NoErr(err)
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		lose := func(u int) {
			services[0].RecordOutcome(time.Now(), time.Now().Add(-time.Millisecond), upstream(u), path(0), Cut, nil)
			services[0].RecordRefusedConnection(time.Now(), upstream(u))
			time.Sleep(10 * time.Millisecond)
		}
		lose(0)
		lose(1)
		lossy.Store(true)
		services[0].RecordOutcome(time.Now(), time.Now(), upstream(9), path(0), Completed, nil)
		time.Sleep(10 * time.Millisecond)
		lossy.Store(false)
		lose(2)
		is.Equal(services[1].Admit(time.Now(), path(0)), Serialize) // one loss
		cancel()
		synctest.Wait()
	})
}

// Guards against an answer that clears nothing where it is recorded and is then taken for the answer before it, so that an
// instance with losses in between does not learn of it.
func TestAnswerWithoutLossesIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		net := peertest.New(1)
		ids := []peer.InstanceID{"e0/1", "e1/1"}
		lossy := make([]atomic.Bool, len(ids))
		var services []*Service
		for i, id := range ids {
			s, err := NewService(Config{
				Transport:   lossyTransport{net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), &lossy[i]},
				InstancesIn: func([]string) []peer.InstanceID { return ids[1-i : 2-i] }, Settings: fleetSettings(), Log: logr.Discard(),
			})
			is.NoErr(err)
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		lose := func(s, u int) {
			services[s].RecordOutcome(time.Now(), time.Now().Add(-time.Millisecond), upstream(u), path(0), Cut, nil)
			services[s].RecordRefusedConnection(time.Now(), upstream(u))
			time.Sleep(10 * time.Millisecond)
		}
		answer := func() {
			services[0].RecordOutcome(time.Now(), time.Now(), upstream(9), path(0), Completed, nil)
			time.Sleep(10 * time.Millisecond)
		}
		lose(0, 0)
		answer() // which both know
		lossy[1].Store(true)
		lose(1, 1)
		lose(1, 2)
		answer()
		lose(0, 3)
		is.Equal(services[1].Admit(time.Now(), path(0)), Serialize) // one loss
	})
}
