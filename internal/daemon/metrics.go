package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// gauges publishes the control state of the instance as metrics. The label instance
// distinguishes instances that share a process.
type gauges struct {
	base
	store   *platformStore
	peers   *peers
	members *members
	loop    *loop
	views   *views
	limits  *limits
}

var _ kernel.Provisioner = (*gauges)(nil)

// Provision implements kernel.Provisioner.
func (g *gauges) Provision(k *kernel.Kernel) (err error) {
	if g.store, err = kernel.Lookup[*platformStore](k, StoreKV); err != nil {
		return err
	}
	if g.peers, err = kernel.Lookup[*peers](k, PeerTransport); err != nil {
		return err
	}
	if g.members, err = kernel.Lookup[*members](k, MembershipTracker); err != nil {
		return err
	}
	if g.loop, err = kernel.Lookup[*loop](k, ControlLoop); err != nil {
		return err
	}
	if g.views, err = kernel.Lookup[*views](k, ViewManager); err != nil {
		return err
	}
	if g.limits, err = kernel.Lookup[*limits](k, QuotaAllocator); err != nil {
		return err
	}
	g.register()
	return nil
}

func (g *gauges) register() {
	g.gauge("turmericsail_tables_revision", "", g.revision)
	g.gauge("turmericsail_rows_not_in_force", "", func() float64 { return float64(len(g.loop.Snapshot().Refused)) })
	for _, s := range []membership.State{membership.Live, membership.Leaving, membership.Suspect} {
		g.gauge("turmericsail_instances", fmt.Sprintf("state=%q,", s), func() float64 { return g.count(s) })
	}
	g.gauge("turmericsail_view_epoch", "", g.epoch)
	g.gauge("turmericsail_view_member", "", g.member)
	g.gauge("turmericsail_record_bytes", "", func() float64 { used, _ := g.views.replica.Usage(); return float64(used) })
	g.gauge("turmericsail_record_bytes_limit", "", func() float64 { _, limit := g.views.replica.Usage(); return float64(limit) })
	g.gauge("turmericsail_upstreams_cold", "", g.cold)
	g.gauge("turmericsail_store_calls_total", "", func() float64 { return float64(g.store.Calls()) })
	for _, t := range []peer.Traffic{peer.Control, peer.CallPath} {
		g.gauge("turmericsail_peer_sent_bytes_total", fmt.Sprintf("traffic=%q,", t), func() float64 { return g.sent(t) })
	}
	g.gauge("turmericsail_peer_control_delayed_total", "", func() float64 { return float64(g.peers.Stats().Delayed) })
}

func (g *gauges) gauge(name, labels string, f func() float64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("%s{%sinstance=%q}", name, labels, g.cfg.Instance), f)
}

func (g *gauges) sent(t peer.Traffic) float64 {
	if t == peer.CallPath {
		return float64(g.peers.Stats().CallPathSent.Bytes)
	}
	return float64(g.peers.Stats().ControlSent.Bytes)
}

func (g *gauges) revision() float64 {
	if t := g.loop.Snapshot().Tables; t != nil {
		return float64(t.Revision)
	}
	return 0
}

func (g *gauges) count(s membership.State) float64 {
	n := 0
	for _, m := range g.loop.Snapshot().Members.Members {
		if m.State == s {
			n++
		}
	}
	return float64(n)
}

func (g *gauges) epoch() float64 {
	v, _ := g.views.Current(g.cfg.Region)
	return float64(v.Epoch)
}

// member returns 1 while this instance is a loaded member of its region's view, else 0.
func (g *gauges) member() float64 {
	v, _ := g.views.Current(g.cfg.Region)
	if epoch, _, ok := g.views.OpenedAt(); ok && epoch == v.Epoch {
		return 1
	}
	return 0
}

// cold counts the upstreams in service that this instance treats as cold.
func (g *gauges) cold() float64 {
	n := 0
	for name, p := range g.limits.tables().Pools {
		for _, u := range p.Upstreams {
			if p.InService(u) && g.limits.stateOf(name, u) == stateCold {
				n++
			}
		}
	}
	return float64(n)
}
