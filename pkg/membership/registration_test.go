package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// fakeRegistrar stores the list entry of one instance and can be made unavailable.
type fakeRegistrar struct {
	mu   sync.Mutex
	down bool
	row  *store.ListedInstance
}

func (f *fakeRegistrar) set(down bool, row *store.ListedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.row = down, row
}

func (f *fakeRegistrar) listed() *store.ListedInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.row
}

func (f *fakeRegistrar) Register(_ context.Context, in store.ListedInstance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return fault.New(fault.Unavailable, "down", "wait")
	}
	f.row = &in
	return nil
}

func (f *fakeRegistrar) Deregister(context.Context, store.ListedInstance) error {
	f.set(false, nil)
	return nil
}

// Guards against an instance that is missing from the list, is listed as live while
// it is leaving, or is still listed after it has ended.
func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeRegistrar{down: true}
		node := peertest.New(1).Join("a/1", "10.0.0.1:1")
		s := Settings{Address: "10.0.0.1:1", Admin: "10.0.0.1:9901", Region: "north", FailureDomain: "n1"}
		tracker, err := New(s, node, Sources{Registrar: f}, logr.Discard())
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- tracker.Run(ctx) }()
		retry := s.withDefaults().ListInterval.Std()
		time.Sleep(5 * retry)
		is.True(f.listed() == nil)
		f.set(false, nil) // the list is available again
		time.Sleep(retry)
		synctest.Wait()
		is.Equal(*f.listed(), store.ListedInstance{
			Service: store.ServiceName, ID: "a/1", Address: "10.0.0.1:1", Region: "north", FailureDomain: "n1", Admin: "10.0.0.1:9901",
		})
		f.set(false, nil) // the list loses its rows
		time.Sleep(registerInterval)
		synctest.Wait()
		is.True(f.listed() != nil)
		is.NoErr(tracker.Leave(ctx))
		time.Sleep(2 * registerInterval)
		synctest.Wait()
		is.True(f.listed().Leaving) // periodic registrations keep the leaving flag
		cancel()
		<-ended
		is.True(f.listed() == nil)
	})
}
