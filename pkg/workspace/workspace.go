// Package workspace determines the workspace of a request from its API key.
//
// Keys are kept and looked up as HMAC-SHA-256 under a random key of the process. A copy of the process's tables
// therefore contains no API key, and the time of a look-up depends on nothing that a caller can choose or learn.
package workspace

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"math"
	"strconv"
	"strings"
	"sync"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// hashers holds hash states with the key of the process, which saves the allocations of a new one for each request.
var hashers = func() *sync.Pool {
	key := make([]byte, sha256.BlockSize)
	_, _ = rand.Read(key) // never fails
	return &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}
}()

// Hash returns the keyed hash of an API key. It differs from process to process.
func Hash(key string) table.KeyHash {
	h := hashers.Get().(hash.Hash)
	defer hashers.Put(h)
	h.Reset()
	_, _ = h.Write([]byte(key)) // never fails
	var sum table.KeyHash
	h.Sum(sum[:0])
	return sum
}

// HashKeys returns the hashes of the keys of one workspace. Its errors name the position of a key, never the key.
func HashKeys(keys []string) ([]table.KeyHash, error) {
	hashes := make([]table.KeyHash, len(keys))
	for i, key := range keys {
		if !ValidKey(key) {
			return nil, fault.Newf(fault.Invalid, "use visible ASCII characters without spaces", "key %d of the workspace cannot be sent by callers", i)
		}
		hashes[i] = Hash(key)
	}
	return hashes, nil
}

// Reason is why a request is refused for its key. It has few values, so that it can label a metric.
type Reason string

// Reasons.
const (
	// None means that the request is admitted.
	None Reason = ""
	// Missing means that the request has no key.
	Missing Reason = "missing"
	// Malformed means that the request's authorization is not exactly one bearer key.
	Malformed Reason = "malformed"
	// Unknown means that no workspace has the key.
	Unknown Reason = "unknown"
	// Revoked means that the key was removed while the request waited to be sent.
	Revoked Reason = "revoked"
)

// String returns the reason as a clause for operators, who see it in the log line of the request and in explain.
func (r Reason) String() string {
	switch r {
	case None:
		return "the request is admitted"
	case Missing:
		return "the request has no Authorization header and the route is not public"
	case Malformed:
		return "the Authorization of the request is not exactly one bearer key"
	case Unknown:
		return "no workspace has the key of the request"
	case Revoked:
		return "the key was removed while the request waited to be sent"
	}
	return string(r)
}

// ParseAuthorization returns the key in the values of a request's Authorization header (RFC 6750, section 2.1). More
// than one value is malformed: the next hop could read another one than this.
func ParseAuthorization(values []string) (key string, reason Reason) {
	switch len(values) {
	case 0:
		return "", Missing
	case 1:
	default:
		return "", Malformed
	}
	scheme, rest, _ := strings.Cut(values[0], " ")
	key = strings.TrimLeft(rest, " ") // RFC 9110, section 11.4, permits several spaces
	if !strings.EqualFold(scheme, "Bearer") || !ValidKey(key) {
		return "", Malformed
	}
	return key, None
}

// ValidKey reports whether a request can carry the key: it consists of visible ASCII characters.
func ValidKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return false
		}
	}
	return key != ""
}

// Authenticate returns the workspace of a request and the hash of its key. The workspace is nil if the request has no
// key, which only public routes admit. A wrong key is refused on a public route, too, since a request with a key that
// was never valid must not run.
func Authenticate(t *table.Tables, public bool, authorization []string) (*table.Workspace, table.KeyHash, Reason) {
	key, reason := ParseAuthorization(authorization)
	switch {
	case reason == Missing && public:
		return nil, table.KeyHash{}, None
	case reason != None:
		return nil, table.KeyHash{}, reason
	}
	hashed := Hash(key)
	w, ok := t.WorkspaceOf(hashed)
	if !ok {
		return nil, table.KeyHash{}, Unknown
	}
	return w, hashed, None
}

// Admits reports whether the tables still give the key to the workspace. A request that waited, or that is sent once
// more, may have been admitted under older tables. The hash is zero if another instance has authenticated the request.
func Admits(t *table.Tables, w *table.Workspace, key table.KeyHash) bool {
	if w == nil || !t.HasWorkspaces() {
		return true
	}
	if key == (table.KeyHash{}) {
		_, ok := t.Workspaces[w.Name]
		return ok
	}
	now, ok := t.WorkspaceOf(key)
	return ok && now.Name == w.Name
}

// Apply sets what the workspace determines in a route for one request: the class and the home regions. It returns
// false if route and workspace have no home region in common; such a request must not be served anywhere.
func Apply(w *table.Workspace, r *table.Route) bool {
	if w.Class != "" {
		r.Class = w.Class
	}
	regions, ok := table.CommonRegions(r.HomeRegions, w.HomeRegions)
	if !ok {
		return false
	}
	r.HomeRegions = regions
	if !r.Permits(r.RecordRegion) {
		r.RecordRegion = "" // chosen by hash among the permitted regions
	}
	return true
}

// Validate returns the faults that make workspaces unusable. No message contains a key.
func Validate(path string, workspaces []table.Workspace) table.Problems {
	var p table.Problems
	names := map[string]bool{}
	owners := map[table.KeyHash]string{}
	for _, w := range workspaces {
		at := path + "[" + strconv.Quote(w.Name) + "]"
		switch {
		case w.Name == "":
			p.Add(at+".name", "is missing", "name the workspace")
		case !ValidKey(w.Name):
			p.Add(at+".name", "has characters that a header cannot carry", "use visible ASCII characters without spaces")
		case names[w.Name]:
			p.Add(at+".name", "is given more than once", "keep one of the rows")
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if owner, taken := owners[key]; taken && owner != w.Name {
				p.Add(at+".keys", "has a key of workspace "+strconv.Quote(owner), "give each workspace keys of its own")
			}
			owners[key] = w.Name
		}
		checkFinite(&p, at+".rate_per_second", w.RatePerSecond)
		checkFinite(&p, at+".burst", w.Burst)
	}
	return p
}

func checkFinite(p *table.Problems, path string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		p.Add(path, "is not a number of requests", "give a number of zero or more; zero is no limit")
	}
}
