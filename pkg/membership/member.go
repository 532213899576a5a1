package membership

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// State is what an instance believes about a member.
type State uint8

// States. At equal versions, a later one replaces an earlier one.
const (
	// Live is the state of a running member.
	Live State = iota + 1
	// Leaving is the state of a member that has announced its shutdown.
	Leaving
	// Suspect is the state of a member that missed heartbeats.
	Suspect
	// Gone is the state of a member that has ended or was declared lost.
	Gone
)

var stateNames = map[State]string{Live: "live", Leaving: "leaving", Suspect: "suspect", Gone: "gone"}

// String returns the name of the state.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is one incarnation of an instance.
type Member struct {
	// ID has the form "name/incarnation".
	ID peer.InstanceID `json:"id"`
	// Address is the address of the peer listener.
	Address string `json:"address"`
	// Region is the region of the instance.
	Region string `json:"region"`
	// FailureDomain is the failure domain of the instance.
	FailureDomain string `json:"failure_domain"`
	// State is the state as seen by the observer.
	State State `json:"state"`
	// Version is incremented only by the member itself. Zero means that the member is known only
	// from the list; it is contacted but holds no roles and is not spread by gossip.
	Version uint64 `json:"version"`
}

// Name returns the part of the ID that is the same across restarts.
func (m *Member) Name() string { return m.ID.Name() }

// Incarnation returns the part of the ID that is different for each start.
func (m *Member) Incarnation() string {
	_, incarnation, _ := strings.Cut(string(m.ID), "/")
	return incarnation
}

// supersedes reports whether m replaces old, another record of the same instance.
func (m *Member) supersedes(old *Member) bool {
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.State > old.State
}

// digest returns a hash of the ID and of all values that supersedes compares.
func (m *Member) digest() uint64 {
	if m.State == Gone || m.Version == 0 {
		return 0 // Instances remove gone members at different times, and only the readers know the list.
	}
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], m.Version)
	tail[8] = byte(m.State)
	d := xxhash.New()
	_, _ = d.WriteString(string(m.ID))
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

func (m *Member) record() *peerpb.MemberRecord {
	return &peerpb.MemberRecord{
		Id: string(m.ID), Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain,
		State: uint32(m.State), Version: m.Version,
	}
}

// maxField is the maximum length in bytes of a text field in a record from another instance.
const maxField = 256

// fromRecord decodes a record. It returns false for a record that is invalid or unknown to this release.
func fromRecord(r *peerpb.MemberRecord) (Member, bool) {
	m := Member{
		ID: peer.InstanceID(r.GetId()), Address: r.GetAddress(), Region: r.GetRegion(),
		FailureDomain: r.GetFailureDomain(), State: State(r.GetState()), Version: r.GetVersion(),
	}
	fits := len(r.GetId()) <= maxField && len(m.Address) <= maxField && len(m.Region) <= maxField && len(m.FailureDomain) <= maxField
	known := r.GetState() >= uint32(Live) && r.GetState() <= uint32(Gone)
	return m, fits && known && m.Version > 0 && m.Name() != "" && m.Incarnation() != ""
}
