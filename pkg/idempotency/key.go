package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// Key identifies a non-idempotent request. Two requests with the same route and
// identity are copies of the same request.
type Key struct {
	// Route is the name of the route.
	Route string
	// Identity is the value of the route's identity header.
	Identity string
	// Region is the region that keeps the record, as returned by RecordRegion.
	Region string
	// HomeRegions are the only regions that may keep the record; empty means all.
	HomeRegions []string
	// Window is how long the record is kept after the end of the request.
	Window time.Duration
}

// Limits of a key.
const (
	// maxIdentity is the longest permitted identity in bytes.
	maxIdentity = 1 << 10
	// MaxWindow is the longest record window. It is limited because records are kept in memory.
	MaxWindow = time.Duration(table.MaxRecordWindow)
)

// NewKey returns the key of a request to route r; regions lists all regions of the installation.
func NewKey(r table.Route, identity string, regions []string) Key {
	return Key{
		Route: r.Name, Identity: identity, Region: RecordRegion(r, identity, regions),
		HomeRegions: r.HomeRegions, Window: r.RecordWindow.Std(),
	}
}

// RecordRegion returns the region that keeps the record of a request: the one set on
// the route, or else one of the permitted regions, selected by rendezvous hashing.
func RecordRegion(r table.Route, identity string, regions []string) string {
	if r.RecordRegion != "" {
		return r.RecordRegion
	}
	permitted := r.HomeRegions
	if len(permitted) == 0 {
		permitted = regions
	}
	ids := make([]peer.InstanceID, len(permitted))
	for i, region := range permitted {
		ids[i] = peer.InstanceID(region)
	}
	region, _ := view.Owner(r.Name+"\x00"+identity, ids)
	return string(region)
}

func (k Key) permits(region string) bool {
	return len(k.HomeRegions) == 0 || slices.Contains(k.HomeRegions, region)
}

func (k Key) validate(self string) error {
	switch {
	case k.Identity == "" || len(k.Identity) > maxIdentity:
		return fault.Newf(fault.Invalid, "send an identity of 1 to 1024 bytes", "the identity has %d bytes", len(k.Identity))
	case k.Window <= 0 || k.Window > MaxWindow:
		return fault.Newf(fault.Invalid, "set record_window of the route to at most 24h", "the record window is %s", k.Window)
	case k.Region == "" || !k.permits(k.Region):
		return fault.Newf(fault.Invalid, "set record_region of the route to one of its home regions", "record region %q is not permitted", k.Region)
	case !k.permits(self):
		return fault.Newf(fault.Refused, "pass the request on to an entry in a home region", "requests of route %q are not claimed in region %q", k.Route, self)
	}
	return nil
}

// recordKey is the hash of route and identity under which members store the record.
type recordKey [16]byte

func (k Key) hash() recordKey {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(k.Route)))
	h.Write(n[:])
	h.Write([]byte(k.Route))
	h.Write([]byte(k.Identity))
	return recordKey(h.Sum(nil)[:16])
}

// Digest identifies the content of a request. It detects an identity that is used for
// two different requests.
type Digest [16]byte

// NewDigest returns the digest of a request's method, target (path and query) and body.
func NewDigest(method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return Digest(h.Sum(nil)[:16])
}

// claimID identifies one attempt to run a request. An ID is not reused after it was abandoned.
type claimID struct {
	claimant peer.InstanceID
	sequence uint64
}

// sendLimit is how long after its first claim message a claimant may start to send,
// measured on its own clock. Members keep a claim that is not refreshed for the record
// window beyond it.
const sendLimit = 5 * time.Second
