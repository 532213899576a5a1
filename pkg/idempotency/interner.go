package idempotency

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// maxNames is the largest number of interned names. The interner is cleared when it is exceeded.
const maxNames = 1 << 14

// interner keeps one copy of each claimant's name, which is shared by thousands of
// records. Reads take no lock.
type interner struct {
	names sync.Map // peer.InstanceID to peer.InstanceID
	count atomic.Int64
}

func (n *interner) intern(id peer.InstanceID) peer.InstanceID {
	if known, ok := n.names.Load(id); ok {
		return known.(peer.InstanceID)
	}
	if n.count.Add(1) > maxNames {
		n.names.Clear()
		n.count.Store(1)
	}
	id = peer.InstanceID(strings.Clone(string(id)))
	known, _ := n.names.LoadOrStore(id, id)
	return known.(peer.InstanceID)
}
