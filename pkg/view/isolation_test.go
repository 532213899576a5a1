package view_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// Guards against an instance that is partitioned from all others, lists only itself as
// live, and replaces the view of the live members with a view of itself alone.
func TestIsolatedInstanceWritesNoView(t *testing.T) {
	withNetwork(t, func(is *is.I, network *fake.Network, _ *fake.KV, all []*view.Manager, lists []*memberList, live []view.Instance) {
		before, _ := all[0].Current("north")
		outside := slices.IndexFunc(live, func(in view.Instance) bool { return !before.Has(in.ID) })
		lists[outside].set(live[outside : outside+1])
		lost := live[outside].ID
		network.SetPartition(func(from, to peer.InstanceID) bool { return from == lost || to == lost })
		time.Sleep(time.Minute)
		after, _ := all[(outside+1)%len(all)].Current("north")
		is.Equal(after.Epoch, before.Epoch)
		is.Equal(after.IDs(), before.IDs())
	})
}
