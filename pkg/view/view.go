package view

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// MaxMembers is the maximum number of members of a view: two in each of two failure domains.
const MaxMembers = 4

// maxPerDomain is the maximum number of members in one failure domain while another one has instances.
const maxPerDomain = 2

// KeyPrefix is the prefix of the store keys of views, each followed by the name of a region.
const KeyPrefix = "turmericsail/views/"

// Instance is an instance as reported by the member list.
type Instance struct {
	ID            peer.InstanceID `json:"id"`
	Region        string          `json:"region"`
	FailureDomain string          `json:"failure_domain"`
}

// Group is a set of replicas in one epoch.
type Group struct {
	// Epoch is incremented with every change of members.
	Epoch uint64 `json:"epoch"`
	// Members are the replicas. A restarted process has a new incarnation and is not a member.
	Members []Instance `json:"members"`
}

// View lists the replicas of a region. It is immutable once published.
type View struct {
	Group
	// Region is the region of every member.
	Region string `json:"region"`
	// Predecessors are the earlier groups whose records the members must load, latest first.
	Predecessors []Group `json:"predecessors,omitempty"`
	// Loaded lists the members that had loaded when the predecessors were removed.
	// The others copy the records from one of them.
	Loaded []peer.InstanceID `json:"loaded,omitempty"`
}

// WriteQuorum returns the number of members that must grant a write: three of
// four, so that members in both failure domains hold it, or all members of a
// smaller group.
func (g Group) WriteQuorum() int {
	if n := len(g.Members); n < MaxMembers {
		return n
	}
	return MaxMembers - 1
}

// SealQuorum returns the smallest number of members that intersects every write quorum.
func (g Group) SealQuorum() int { return len(g.Members) - g.WriteQuorum() + 1 }

// Has reports whether id is a member.
func (g Group) Has(id peer.InstanceID) bool {
	return slices.ContainsFunc(g.Members, func(m Instance) bool { return m.ID == id })
}

// IDs returns the IDs of the members.
func (g Group) IDs() []peer.InstanceID {
	ids := make([]peer.InstanceID, len(g.Members))
	for i, m := range g.Members {
		ids[i] = m.ID
	}
	return ids
}

// Allocator returns the member that has the role of allocator for key, or "" for a group without members.
func (g Group) Allocator(key string) peer.InstanceID {
	id, _ := Owner(key, g.IDs())
	return id
}

// Newer reports whether v supersedes old: a higher epoch, or the same epoch with its predecessors removed.
func (v View) Newer(old View) bool {
	if v.Epoch != old.Epoch {
		return v.Epoch > old.Epoch
	}
	return len(v.Predecessors) < len(old.Predecessors)
}

// Next returns the view that follows v with the given members. While v has predecessors,
// its members may lack records, so the predecessors remain listed.
func (v View) Next(members []Instance) View {
	n := View{Region: v.Region, Group: Group{Epoch: v.Epoch + 1, Members: members}}
	if len(v.Members) == 0 {
		n.Loaded = n.IDs()
		return n
	}
	n.Predecessors = append([]Group{v.Group}, v.Predecessors...)
	return n
}

// WithoutPredecessors returns v without predecessors and with the given members as Loaded.
func (v View) WithoutPredecessors(loaded []peer.InstanceID) View {
	v.Predecessors, v.Loaded = nil, loaded
	return v
}

// Encode returns the JSON form of v.
func (v View) Encode() ([]byte, error) { return json.Marshal(v) }

// Decode decodes and validates a view.
func Decode(data []byte) (View, error) {
	var v View
	if err := table.DecodeStrict(bytes.TrimSpace(data), &v); err != nil {
		return View{}, err
	}
	return v, v.validate()
}

func (v View) validate() error {
	const remedy = "delete the row only when every instance of the region is down; a new view is written then"
	if v.Region == "" || v.Epoch == 0 {
		return fault.New(fault.Invalid, "the view has no region or no epoch", remedy)
	}
	above := v.Epoch + 1
	for _, g := range append([]Group{v.Group}, v.Predecessors...) {
		if len(g.Members) == 0 || len(g.Members) > MaxMembers {
			return fault.Newf(fault.Invalid, remedy, "epoch %d of region %q has %d members", g.Epoch, v.Region, len(g.Members))
		}
		if g.Epoch >= above {
			return fault.Newf(fault.Invalid, remedy, "the epochs of the view of region %q and its predecessors are not in descending order", v.Region)
		}
		above = g.Epoch
		if err := g.validateMembers(v.Region); err != nil {
			return err
		}
	}
	return nil
}

func (g Group) validateMembers(region string) error {
	for i, m := range g.Members {
		if m.ID == "" || m.Region != region || (Group{Members: g.Members[:i]}).Has(m.ID) {
			return fault.Newf(fault.Invalid, "keep members of the region only, each once", "member %q is not valid in region %q", m.ID, region)
		}
	}
	return nil
}
