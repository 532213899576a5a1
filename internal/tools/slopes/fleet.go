package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

var regions = []string{"north", "central", "south"}

// instance is one member of the fleet. It runs membership and configuration only.
type instance struct {
	node    *peertest.Node
	tracker *membership.Tracker
	sync    *configsync.Syncer
}

// fleet runs instances in this process on an in-memory network and a stand-in store.
type fleet struct {
	network   *peertest.Network
	client    *consulkv.Client
	instances []*instance
	pools     int
	edits     int
	baseHeap  uint64 // bytes before the first instance starts
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// watchWait bounds a watch call to the store. It equals the value of the daemon.
const watchWait = 5 * time.Second

// newFleet starts instances on a store with the given number of pools and returns
// when they have converged and warmUp has passed.
func newFleet(instances, pools int) (*fleet, error) {
	c, err := consulkv.New(consulkv.Config{Address: "http://store", Client: standin.NewStore().Client(), WatchWait: watchWait})
	if err != nil {
		return nil, err
	}
	f := &fleet{network: peertest.New(1), client: c, pools: pools}
	if err := f.populateStore(); err != nil {
		return nil, err
	}
	f.baseHeap = liveHeapBytes()
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	for i := range instances {
		if err := f.start(ctx, i); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.waitConverged(); err != nil {
		f.stop()
		return nil, err
	}
	time.Sleep(warmUp)
	return f, nil
}

func (f *fleet) start(ctx context.Context, i int) error {
	address := fmt.Sprintf("10.0.0.%d:7000", i)
	region := regions[i%len(regions)]
	x := &instance{node: f.network.Join(peer.InstanceID(fmt.Sprintf("i%d/1", i)), address)}
	var err error
	x.tracker, err = membership.New(membership.Settings{
		Address: address, Region: region, FailureDomain: fmt.Sprint(region, "-", i%6/3),
		Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
	}, x.node, membership.Sources{Leases: f.client, LeaseLister: f.client, Lister: f.client, Registrar: f.client}, logr.Discard())
	if err != nil {
		return err
	}
	x.sync = configsync.New(configsync.Settings{}, x.node, x.tracker, f.client, logr.Discard())
	f.instances = append(f.instances, x)
	f.running.Go(func() { _ = x.tracker.Run(ctx) })
	f.running.Go(func() { _ = x.sync.Run(ctx) })
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	f.running.Wait()
}

const (
	// convergenceTimeout bounds the start of a fleet and the propagation of an edit.
	convergenceTimeout = 30 * time.Second
	// warmUp is the delay before a measurement in which the start-up traffic ends.
	warmUp = 4 * time.Second
)

// waitConverged waits until every instance has all others in its view and holds
// every row and the last edit.
func (f *fleet) waitConverged() error {
	for start := time.Now(); !f.converged(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > convergenceTimeout {
			return fmt.Errorf("%d instances with %d pools did not converge within %v", len(f.instances), f.pools, convergenceTimeout)
		}
	}
	return nil
}

func (f *fleet) converged() bool {
	for _, x := range f.instances {
		v, s := x.tracker.View(), x.sync.Status()
		if !v.Ready || len(v.Live(membership.Fleet())) != len(f.instances) || s.Rows != 2*f.pools || len(s.Held) > 0 || !f.hasLastEdit(x) {
			return false
		}
	}
	return true
}

func (f *fleet) hasLastEdit(x *instance) bool {
	t := x.sync.Tables()
	return t != nil && (f.edits == 0 || t.Pools[poolName(f.editedPool())].Slots == slotsAfter(f.edits))
}
