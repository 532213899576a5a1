package daemon

import (
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/quota"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// roles determines the allocator of a shared resource. It is a member of the view of the
// region that the resource's upstream is in, or of this instance's own region if the
// resource belongs to no upstream.
type roles struct {
	region   string
	self     peer.InstanceID
	views    *views
	snapshot func() *control.Snapshot
}

var _ quota.Roles = (*roles)(nil)

// Allocator implements quota.Roles.
func (r *roles) Allocator(resource string) (peer.InstanceID, bool) {
	v, ok := r.views.Current(r.regionOf(resource))
	if !ok || len(v.Members) == 0 {
		return "", false
	}
	return v.Allocator(resource), true
}

// Authority implements quota.Roles.
func (r *roles) Authority(resource string) quota.Authority { return &authority{r, resource} }

// coldPrefix is the prefix of the resource names of cold-start allowances.
const coldPrefix = "cold/"

func (r *roles) regionOf(resource string) string {
	name, ok := strings.CutPrefix(resource, coldPrefix)
	if !ok {
		return r.region
	}
	pool, id, _ := strings.Cut(name, "/")
	if u, ok := findUpstream(r.snapshot().Tables, pool, id); ok {
		return u.Region
	}
	return r.region
}

func findUpstream(t *table.Tables, pool, id string) (table.Upstream, bool) {
	if t == nil {
		return table.Upstream{}, false
	}
	for _, u := range t.Pools[pool].Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return table.Upstream{}, false
}

// firstEpoch is the first epoch of a region's view. It has no earlier allocator whose
// grants must expire first, so its allocators may grant immediately.
const firstEpoch = 1

// authority is this instance's authority for one resource.
type authority struct {
	roles    *roles
	resource string
}

// Held implements quota.Authority.
func (a *authority) Held(now time.Time) (epoch uint64, loadedAt time.Time, ok bool) {
	r := a.roles
	epoch, held := r.views.Authority(now)
	opened, at, loaded := r.views.OpenedAt()
	if !held || !loaded || opened != epoch || r.regionOf(a.resource) != r.region {
		return 0, time.Time{}, false
	}
	if epoch == firstEpoch {
		at = time.Time{}
	}
	holder, known := r.Allocator(a.resource)
	return epoch, at, known && holder == r.self
}
