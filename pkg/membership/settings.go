package membership

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// LeasePrefix is the prefix of the lease names of instances in the store.
const LeasePrefix = "turmericsail/instances/"

// DefaultService is the default service name of instances in the platform's list.
const DefaultService = "turmericsail"

// Settings configures a Tracker. Zero values select the defaults.
type Settings struct {
	// Address is the address at which other instances reach the peer listener. Required.
	Address string `json:"address"`
	// Admin is the address of the operators' listener, published in the platform's list.
	Admin string `json:"admin,omitempty"`
	// Region is the region of this instance. Required.
	Region string `json:"region"`
	// FailureDomain is the failure domain of this instance. Required.
	FailureDomain string `json:"failure_domain"`
	// Service is the service name of instances in the platform's list. Default "turmericsail".
	Service string `json:"service,omitempty"`
	// Seeds are addresses of peer listeners to dial until the instance has synced with a peer, in case the list cannot be read.
	Seeds []string `json:"seeds,omitempty"`
	// Tick is the interval between steps of the state machine. Default 250ms.
	Tick table.Duration `json:"tick,omitempty"`
	// HeartbeatInterval is the interval between heartbeats to a neighbour. Default 1s.
	HeartbeatInterval table.Duration `json:"heartbeat_interval,omitempty"`
	// HeartbeatTimeout is the timeout of a heartbeat and of a probe. Default 800ms.
	HeartbeatTimeout table.Duration `json:"heartbeat_timeout,omitempty"`
	// Neighbours is the number of live members that this instance sends heartbeats to. Default 3.
	Neighbours int `json:"neighbours,omitempty"`
	// SuspectTimeout is how long a member stays suspect while the store is down. Default 30s.
	SuspectTimeout table.Duration `json:"suspect_timeout,omitempty"`
	// Lease is the time to live of the lease in the store. A longer gap between ticks counts as a pause of the process. Default 15s.
	Lease table.Duration `json:"lease,omitempty"`
	// ListInterval is the interval at which readers read the list. Default 2s.
	ListInterval table.Duration `json:"list_interval,omitempty"`
	// TombstoneAge is how long a member that is gone is remembered. Default 2h.
	TombstoneAge table.Duration `json:"tombstone_age,omitempty"`
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.Service, DefaultService)
	orDefault(&s.Tick, table.Duration(250*time.Millisecond))
	orDefault(&s.HeartbeatInterval, table.Duration(time.Second))
	orDefault(&s.HeartbeatTimeout, table.Duration(800*time.Millisecond))
	orDefault(&s.Neighbours, 3)
	orDefault(&s.SuspectTimeout, table.Duration(30*time.Second))
	// 15 s tolerates two failed renewals out of three and limits 256 instances to about 50 renewals/s.
	orDefault(&s.Lease, table.Duration(15*time.Second))
	orDefault(&s.ListInterval, table.Duration(2*time.Second))
	// Partitions between regions can last an hour; gone members must be remembered for longer.
	orDefault(&s.TombstoneAge, table.Duration(2*time.Hour))
	return s
}

func (s *Settings) validate(self peer.InstanceID) error {
	switch {
	case self.Name() == "" || self.Name() == string(self):
		return fault.Newf(fault.Invalid, `use "name/incarnation"`, "%q is not an instance ID", self)
	case s.Address == "":
		return fault.New(fault.Invalid, "the address of the peer listener is not set", "set address")
	case s.Region == "" || s.FailureDomain == "":
		return fault.New(fault.Invalid, "the region or the failure domain is not set", "set region and failure_domain")
	case s.Lease <= s.Tick || s.HeartbeatInterval < s.Tick:
		return fault.New(fault.Invalid, "the lease or the heartbeat interval is shorter than the tick", "raise lease and heartbeat_interval")
	}
	return nil
}
