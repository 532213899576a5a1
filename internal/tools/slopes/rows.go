package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	upstreamsPerPool = 8
	// storeTimeout bounds the population of the store and each edit.
	storeTimeout = 30 * time.Second
)

func poolName(i int) string { return fmt.Sprint("service-", i) }

func newPool(i, slots int) table.Pool {
	p := table.Pool{Name: poolName(i), Slots: slots, Connections: 250}
	for u := range upstreamsPerPool {
		region := regions[u%len(regions)]
		p.Upstreams = append(p.Upstreams, table.Upstream{
			ID: fmt.Sprint("u", u), Address: fmt.Sprintf("10.%d.%d.%d:8080", 1+i/256, i%256, u+1),
			Region: region, FailureDomain: fmt.Sprint(region, "-", u%6/3),
		})
	}
	return p
}

func newRoute(i int) table.Route {
	name := poolName(i)
	return table.Route{Name: name, Pool: name, Match: table.Match{PathPrefix: "/" + name}}
}

// populateStore writes all pools and their routes.
func (f *fleet) populateStore() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	for i := range f.pools {
		if err := f.put(ctx, configsync.PoolPrefix+poolName(i), newPool(i, slotsAfter(0)), 0); err != nil {
			return err
		}
		if err := f.put(ctx, configsync.RoutePrefix+poolName(i), newRoute(i), 0); err != nil {
			return err
		}
	}
	return nil
}

// editedPool returns the index of the pool that the last edit changed.
func (f *fleet) editedPool() int { return f.edits % f.pools }

// slotsAfter returns the slots of a pool that was last changed by the given edit;
// edit 0 is its creation.
func slotsAfter(edit int) int { return 4 + edit }

// edit changes the slots of the next pool, in turn.
func (f *fleet) edit() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	f.edits++
	i := f.editedPool()
	e, err := f.client.Get(ctx, configsync.PoolPrefix+poolName(i))
	if err != nil {
		return err
	}
	return f.put(ctx, e.Key, newPool(i, slotsAfter(f.edits)), e.Revision)
}

func (f *fleet) put(ctx context.Context, key string, row any, revision uint64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, f.client, key, value, revision)
	return err
}
