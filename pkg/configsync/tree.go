package configsync

import (
	"context"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

const (
	// fanOut is the number of children in the tree: 4 hops reach 256 instances.
	fanOut = 4
	// randomOffers is the number of random instances that a new revision is offered to. They
	// bring it to other regions whose watchers cannot reach the store.
	randomOffers = 2
)

// order sorts the members of a tree by a hash that differs for each revision, so that
// the load of inner positions is spread over the instances.
func order(members []membership.Member, revision uint64) []peer.InstanceID {
	type scored struct {
		id    peer.InstanceID
		score uint64
	}
	all := make([]scored, len(members))
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], revision)
	for i, m := range members {
		d := xxhash.New()
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(string(m.ID))
		all[i] = scored{m.ID, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score < b.score || a.score == b.score && a.id < b.id {
			return -1
		}
		return 1
	})
	out := make([]peer.InstanceID, len(all))
	for i := range all {
		out[i] = all[i].id
	}
	return out
}

// children returns the child positions of a position in a tree of n members. Position -1
// is the root, which is not part of the order.
func children(position, n int) []int {
	var out []int
	for c := fanOut * (position + 1); c < fanOut*(position+2) && c < n; c++ {
		out = append(out, c)
	}
	return out
}

// offerRevision offers a new revision to the children of this instance in the tree of its
// region and to random members.
func (y *Syncer) offerRevision(ctx context.Context, s *snapshot, root bool) {
	v := y.members.View()
	tree := order(v.Live(membership.InRegion(v.Self.Region)), s.revision)
	position := slices.Index(tree, y.transport.Self())
	if root {
		y.offerToChildren(ctx, s, tree, -1)
	}
	if position >= 0 {
		y.offerToChildren(ctx, s, tree, position)
	}
	for _, id := range y.randomMembers(randomOffers) {
		y.running.Go(func() { _, _ = y.compare(ctx, id) })
	}
}

// offerToChildren offers a revision to the children of a position. If a child does not answer,
// it offers the revision to the children of that child.
func (y *Syncer) offerToChildren(ctx context.Context, s *snapshot, tree []peer.InstanceID, position int) {
	for _, c := range children(position, len(tree)) {
		if tree[c] == y.transport.Self() {
			continue // offerRevision offers to the children of this instance itself
		}
		y.running.Go(func() {
			if _, err := y.compare(ctx, tree[c]); err != nil && y.current.Load() == s {
				y.offerToChildren(ctx, s, tree, c)
			}
		})
	}
}
