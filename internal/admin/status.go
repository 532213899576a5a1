package admin

import (
	"slices"
	"strings"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// States of an instance in its status.
const (
	StateStarting = "starting" // no tables yet
	StateServing  = "serving"
	StateLeaving  = "leaving"
)

// States of an upstream that are derived from the tables alone. An Observer may
// report others.
const (
	UpstreamInService = "in-service"
	UpstreamOut       = "out"
)

// Status is the body of /status.
type Status struct {
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Revision is the revision of the tables in force, 0 before tables are loaded.
	Revision  uint64           `json:"revision"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	// MissingPools lists the routes whose pool does not exist.
	MissingPools table.Problems `json:"missing_pools"`
	// RowsRefused lists the rows that are not in force because they are invalid.
	RowsRefused table.Problems `json:"rows_refused"`
	// Callers is how near the instance is to the limits of all its callers together.
	Callers *callers.Use `json:"callers,omitempty"`
}

// UpstreamStatus is the state of an upstream as observed by one instance.
type UpstreamStatus struct {
	Pool          string `json:"pool"`
	ID            string `json:"id"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// InFlight is the number of requests that the instance has sent and that have not completed.
	InFlight int64 `json:"in_flight"`
}

// Observer returns the measured state and the requests in flight of an upstream. An empty state keeps the state derived from the tables.
type Observer func(pool string, u table.Upstream) (state string, inFlight int64)

// StatusOf returns the status of an instance. observe may be nil.
func StatusOf(cfg settings.Settings, snapshot *control.Snapshot, leaving bool, observe Observer) Status {
	s := Status{
		Instance: cfg.Instance, Region: cfg.Region, FailureDomain: cfg.FailureDomain, State: StateStarting,
		Upstreams: []UpstreamStatus{}, MissingPools: table.Problems{}, RowsRefused: table.Problems{},
	}
	if t := snapshot.Tables; t != nil {
		s.State, s.Revision = StateServing, t.Revision
		s.Upstreams = upstreams(t, observe)
		s.MissingPools = append(s.MissingPools, t.CheckReferences()...)
		s.RowsRefused = append(s.RowsRefused, snapshot.Refused...)
	}
	if leaving {
		s.State = StateLeaving
	}
	return s
}

func upstreams(t *table.Tables, observe Observer) []UpstreamStatus {
	all := []UpstreamStatus{}
	for _, pool := range t.Pools {
		for _, u := range pool.Upstreams {
			s := UpstreamStatus{
				Pool: pool.Name, ID: u.ID, Address: u.Address, Region: u.Region,
				FailureDomain: u.FailureDomain, State: UpstreamInService,
			}
			if observe != nil {
				state, n := observe(pool.Name, u)
				s.InFlight = n
				if state != "" {
					s.State = state
				}
			}
			if !pool.InService(u) {
				s.State = UpstreamOut
			}
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b UpstreamStatus) int {
		return strings.Compare(a.Pool+"\x00"+a.ID, b.Pool+"\x00"+b.ID)
	})
	return all
}
