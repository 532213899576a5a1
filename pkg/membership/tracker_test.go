package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

type fleet struct {
	network *peertest.Network
	store   *standin.Store
	cancel  map[peer.InstanceID]context.CancelFunc
	running map[peer.InstanceID]*Tracker
}

func newFleet() *fleet {
	return &fleet{peertest.New(1), standin.NewStore(), map[peer.InstanceID]context.CancelFunc{}, map[peer.InstanceID]*Tracker{}}
}

func (f *fleet) start(i int, id peer.InstanceID, seeds ...string) *Tracker {
	client, err := consulkv.New(consulkv.Config{Address: "http://store", Client: f.store.Client()})
	if err != nil {
		panic(err)
	}
	address := fmt.Sprintf("10.0.0.%d:7000", i)
	t, err := New(
		Settings{Address: address, Region: regions[i%3], FailureDomain: regions[i%3] + "-1", Seeds: seeds},
		f.network.Join(id, address), Sources{client, client, client, client}, logr.Discard())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.running[id], f.cancel[id] = t, cancel
	go t.Run(ctx)
	return t
}

func (f *fleet) stop() {
	for _, cancel := range f.cancel {
		cancel()
	}
	time.Sleep(time.Minute) // lets calls in flight end
}

func (f *fleet) allSee(want int) bool {
	for _, t := range f.running {
		if v := t.View(); len(v.Live(Fleet())) != want || !v.Ready {
			return false
		}
	}
	return true
}

// Guards against a tracker that does not execute the machine's actions: leases, list
// readings, seeds, the announcement of the end and the detection of a crash.
func TestTrackersDetectMembershipChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.stop()
		for i := range 5 {
			f.start(i, peer.InstanceID(fmt.Sprintf("i%d/1", i)))
		}
		time.Sleep(10 * time.Second)
		is.True(f.allSee(5))
		a, ok := f.running["i0/1"].Address("i4/1")
		is.True(ok)
		is.Equal(a, "10.0.0.4:7000")

		changed := f.running["i0/1"].Changed()
		f.cancel["i4/1"]()
		delete(f.running, "i4/1")
		<-changed
		time.Sleep(2 * time.Second)
		is.True(f.allSee(4))
		x, _ := f.running["i0/1"].View().Lookup("i4/1")
		is.Equal(x.State, Gone) // announced, without any suspicion

		f.network.Crash("i3/1")
		f.cancel["i3/1"]()
		delete(f.running, "i3/1")
		time.Sleep(5 * time.Second)
		is.True(f.allSee(3))

		f.store.SetFaults(standin.StoreFaults{Down: true})
		f.start(7, "i7/1", "10.0.0.9:7000", "10.0.0.1:7000") // no instance listens at the first seed
		time.Sleep(10 * time.Second)
		is.True(f.allSee(4))
		is.True(f.running["i7/1"].Holds("role", InRegion(regions[1]), 9))

		is.NoErr(f.running["i7/1"].Leave(t.Context()))
		time.Sleep(2 * time.Second)
		is.True(!f.running["i7/1"].Holds("role", InRegion(regions[1]), 9))
	})
}

func Example() {
	network := peertest.New(1)
	settings := Settings{Address: "10.0.0.1:7000", Region: "north", FailureDomain: "north-1"}
	t, err := New(settings, network.Join("a/1", "10.0.0.1:7000"), Sources{}, logr.Discard())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go t.Run(ctx)
	me, _ := t.View().Lookup("a/1")
	fmt.Println(me.Name(), me.Incarnation(), me.State, t.Holds("jobs", InRegion("north"), 1))
	// Output: a 1 live false
}
