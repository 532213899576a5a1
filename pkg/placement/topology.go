package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Instance is a live instance and its location.
type Instance struct {
	ID            peer.InstanceID
	Region        string
	FailureDomain string
}

// BrokerOf returns the instance that is the broker of the pool in the failure
// domain. It uses rendezvous hashing (the highest hash wins), so that an instance
// that joins or leaves moves only its own broker roles.
func BrokerOf(pool, failureDomain string, live []Instance) (peer.InstanceID, bool) {
	var best peer.InstanceID
	var highest uint64
	for _, i := range live {
		if i.FailureDomain != failureDomain {
			continue
		}
		h := xxhash.Sum64String("placement\x00" + pool + "\x00" + failureDomain + "\x00" + string(i.ID))
		if best == "" || h > highest {
			best, highest = i.ID, h
		}
	}
	return best, best != ""
}

// ForBroker reports whether the message is addressed to a Broker rather than a Client.
func ForBroker(m *peerpb.PlacementMessage) bool {
	switch m.Body.(type) {
	case *peerpb.PlacementMessage_Grant, *peerpb.PlacementMessage_Refuse, *peerpb.PlacementMessage_Redirect,
		*peerpb.PlacementMessage_Queued, *peerpb.PlacementMessage_Next:
		return false
	}
	return true
}
