package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Size and parameters of the deployment.
const (
	region             = "north"
	prefix             = "turmericsail/" // of the keys in the store
	poolName           = "roster"
	entries            = 3
	upstreamsPerDomain = 3
	slots              = 4                    // per upstream
	serviceTime        = 5 * time.Millisecond // of each request at an upstream
	readyTimeout       = 30 * time.Second     // bounds the start of the instances and, separately, the warm-up
)

// domains are the two failure domains; the second is taken out and brought back.
var domains = [2]string{"north-1", "north-2"}

// deployment holds the running stand-ins and instances.
type deployment struct {
	storeURL  string
	kv        *consulkv.Client
	servers   []*http.Server
	upstreams []table.Upstream
	instances []settings.Settings
	cancel    context.CancelFunc
	exits     chan error // receives one value per instance: the error of its Run
}

func deploy(ctx context.Context, newInstance func(settings.Settings) (*kernel.Kernel, error)) (*deployment, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &deployment{cancel: cancel, exits: make(chan error, entries)}
	err := d.start(ctx, newInstance)
	if err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, newInstance func(settings.Settings) (*kernel.Kernel, error)) error {
	address, err := d.listen(standin.NewStore())
	if err != nil {
		return err
	}
	d.storeURL = "http://" + address
	if d.kv, err = consulkv.New(consulkv.Config{Address: d.storeURL}); err != nil {
		return err
	}
	if err := d.startUpstreams(); err != nil {
		return err
	}
	if err := d.writeTables(ctx); err != nil {
		return err
	}
	return d.startInstances(ctx, newInstance)
}

// listen serves h on a free loopback port and returns its address.
func (d *deployment) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *deployment) startUpstreams() error {
	for _, domain := range domains {
		for i := range upstreamsPerDomain {
			id := fmt.Sprintf("%s-u%d", domain, i+1)
			address, err := d.listen(standin.NewUpstream(standin.UpstreamConfig{ID: id, Slots: slots, ServiceTime: serviceTime}))
			if err != nil {
				return err
			}
			d.upstreams = append(d.upstreams, table.Upstream{ID: id, Address: address, Region: region, FailureDomain: domain})
		}
	}
	return nil
}

func (d *deployment) writeTables(ctx context.Context) error {
	rows := map[string]any{
		table.PoolsPrefix + poolName:    table.Pool{Name: poolName, Upstreams: d.upstreams, Slots: slots, Connections: 250},
		table.RoutesPrefix + "roster":   table.Route{Name: "roster", Match: table.Match{PathPrefix: "/roster"}, Pool: poolName},
		table.RoutesPrefix + "dispatch": table.Route{Name: "dispatch", Match: table.Match{PathPrefix: "/dispatch"}, Pool: poolName, Idempotency: table.IdempotentNever},
	}
	for key, row := range rows {
		data, err := json.Marshal(row)
		if err != nil {
			return err
		}
		if _, err := store.Put(ctx, d.kv, prefix+key, data, 0); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startInstances(ctx context.Context, newInstance func(settings.Settings) (*kernel.Kernel, error)) error {
	addresses, err := freeAddresses(3 * entries)
	if err != nil {
		return err
	}
	for i := range entries {
		cfg, err := instanceSettings(i, addresses[3*i:3*i+3], d.storeURL)
		if err != nil {
			return err
		}
		k, err := newInstance(cfg)
		if err != nil {
			return err
		}
		d.instances = append(d.instances, cfg)
		go func() { d.exits <- k.Run(ctx, context.WithoutCancel(ctx)) }()
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	return d.warmUp(ctx)
}

// freeAddresses returns n loopback addresses with free ports. All listeners stay
// open until the last port is known, so that no two addresses are equal.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// instanceSettings returns the settings of instance i. They pass through the parser, which sets the defaults.
func instanceSettings(i int, addresses []string, storeURL string) (settings.Settings, error) {
	data, err := json.Marshal(settings.Settings{
		Instance: fmt.Sprintf("entry-%d", i+1), Region: region, FailureDomain: domains[i%len(domains)],
		Callers: settings.Listener{Listen: addresses[0], Plaintext: true},
		Peers:   settings.Listener{Listen: addresses[1], Plaintext: true},
		Admin:   settings.Admin{Listen: addresses[2]},
		Regions: []string{region}, Store: settings.Store{Address: storeURL},
		Shutdown: settings.Shutdown{Notice: table.Duration(time.Millisecond)},
	})
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Parse(data)
}

// waitReady waits until every instance serves with the written tables in force.
func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	revision, err := configsync.AwaitRevision(ctx, d.kv, prefix+table.PoolsPrefix+poolName, 0)
	if err != nil {
		return err
	}
	for d.lowestRevision(ctx) < revision {
		select {
		case err := <-d.exits:
			d.exits <- err
			return fault.Wrap(fault.Unavailable, err, "an instance ended while it started", "see its error")
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "the instances did not become ready", "run the demo again on a less busy machine")
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// lowestRevision returns the lowest revision in force on any instance, or 0 if an instance cannot be reached or does not serve.
func (d *deployment) lowestRevision(ctx context.Context) uint64 {
	lowest := uint64(0)
	for i, cfg := range d.instances {
		s, err := admin.FetchStatus(ctx, cfg.Admin.Listen)
		if err != nil || s.State != admin.StateServing {
			return 0
		}
		if i == 0 || s.Revision < lowest {
			lowest = s.Revision
		}
	}
	return lowest
}

// watchInstances stops the demo when an instance ends unexpectedly.
func (d *deployment) watchInstances(ctx context.Context, stop context.CancelFunc) {
	select {
	case err := <-d.exits:
		d.exits <- err
		stop()
	case <-ctx.Done():
	}
}

func (d *deployment) entryURLs() []string {
	urls := make([]string, len(d.instances))
	for i, cfg := range d.instances {
		urls[i] = "http://" + cfg.Callers.Listen
	}
	return urls
}

// setDomainsOut edits the pool so that the failure domains in out get no new requests.
// It returns the revision of the tables that contains the edit.
func (d *deployment) setDomainsOut(ctx context.Context, out ...string) (uint64, error) {
	key := prefix + table.PoolsPrefix + poolName
	current, err := d.kv.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	pool, err := table.DecodePool(current.Value)
	if err != nil {
		return 0, err
	}
	pool.FailureDomainsOut = out
	row, err := json.Marshal(pool)
	if err != nil {
		return 0, err
	}
	if _, err := store.Put(ctx, d.kv, key, row, current.Revision); err != nil {
		return 0, err
	}
	written, err := d.kv.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return configsync.AwaitRevision(ctx, d.kv, key, written.Revision)
}

// stop shuts the instances down, waits for their end and closes the stand-ins.
func (d *deployment) stop() error {
	d.cancel()
	var errs []error
	for range d.instances {
		errs = append(errs, <-d.exits)
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	return errors.Join(errs...)
}
