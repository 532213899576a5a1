// Package discovery adds the upstreams of the platform's instance list to the pools that
// set discover. The list is delayed, so it only determines which upstreams a pool may use,
// not whether they are healthy.
package discovery

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Lists holds the listed instances by service. It is immutable once sent.
type Lists map[string][]store.ListedInstance

// Services returns the services that pools name, sorted and without duplicates.
func Services(t *table.Tables) []string {
	var names []string
	for _, p := range t.Pools {
		if p.Discover != "" {
			names = append(names, p.Discover)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Apply returns tables whose pools include the listed upstreams. An upstream of
// the row takes precedence over a listed one with the same ID; leaving upstreams are
// not in service. Listed instances without region or failure domain are left out and
// reported, because requests could not be kept in their home regions.
func Apply(t *table.Tables, lists Lists) (*table.Tables, table.Problems) {
	var problems table.Problems
	pools := make(map[string]table.Pool, len(t.Pools))
	for name, p := range t.Pools {
		if p.Discover != "" {
			p = mergeListed(p, lists[p.Discover], &problems)
		}
		pools[name] = p
	}
	return t.WithPools(pools), problems
}

func mergeListed(p table.Pool, list []store.ListedInstance, problems *table.Problems) table.Pool {
	seen := map[string]bool{}
	for _, u := range p.Upstreams {
		seen[u.ID] = true
	}
	p.Upstreams, p.UpstreamsOut = slices.Clone(p.Upstreams), slices.Clone(p.UpstreamsOut)
	for _, in := range list {
		switch {
		case seen[in.ID]:
			continue
		case in.Region == "" || in.FailureDomain == "":
			problems.Add("list "+p.Discover+" "+in.ID, "has no region or failure domain", "register it with the metadata region and failure_domain")
			continue
		case in.Leaving:
			p.UpstreamsOut = append(p.UpstreamsOut, in.ID)
		}
		seen[in.ID] = true
		p.Upstreams = append(p.Upstreams, table.Upstream{
			ID: in.ID, Address: in.Address, Region: in.Region, FailureDomain: in.FailureDomain, Version: in.Version, StartMillis: in.StartMillis,
		})
	}
	return p
}

// Reader reads the lists of the services that SetServices names.
type Reader struct {
	lister          store.Lister
	log             logr.Logger
	mu              sync.Mutex
	services        []string
	servicesChanged chan struct{}
	updates         chan Lists
}

// New returns a reader without services.
func New(lister store.Lister, log logr.Logger) *Reader {
	return &Reader{lister: lister, log: log, servicesChanged: make(chan struct{}, 1), updates: make(chan Lists)}
}

// SetServices replaces the names of the services to read.
func (r *Reader) SetServices(services []string) {
	r.mu.Lock()
	changed := !slices.Equal(r.services, services)
	r.services = slices.Clone(services)
	r.mu.Unlock()
	if !changed {
		return
	}
	select {
	case r.servicesChanged <- struct{}{}:
	default:
	}
}

// Updates returns a channel that receives the lists after each change.
func (r *Reader) Updates() <-chan Lists { return r.updates }

const (
	// readInterval is the minimum pause between two rounds, each of which reads every service.
	readInterval = 2 * time.Second
	// callInterval is the pause between two calls, which limits an instance to 20 calls/s: 18 instances then
	// use 360 of the store's 2,000 reads/s. With 1,000 services a round takes 50 s, and so does the pause after
	// it.
	callInterval = 50 * time.Millisecond
)

// Run reads the list until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	var previous Lists
	for {
		r.mu.Lock()
		services := r.services
		r.mu.Unlock()
		lists := r.readLists(ctx, services, previous)
		if ctx.Err() == nil && !reflect.DeepEqual(lists, previous) {
			select {
			case r.updates <- lists:
				previous = lists
			case <-ctx.Done():
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.servicesChanged:
		case <-time.After(max(readInterval, time.Duration(len(services))*callInterval)):
		}
	}
}

// readLists reads each service. A service that cannot be read keeps its previous list.
func (r *Reader) readLists(ctx context.Context, services []string, previous Lists) Lists {
	lists := make(Lists, len(services))
	for _, service := range services {
		list, err := r.lister.Instances(ctx, service)
		if err != nil {
			r.log.V(1).Info("the platform's instance list cannot be read", "service", service, "kind", fault.KindOf(err), "error", err.Error())
			list = previous[service]
		}
		lists[service] = list
		if len(services) > 1 {
			select {
			case <-ctx.Done():
				return lists
			case <-time.After(callInterval):
			}
		}
	}
	return lists
}
