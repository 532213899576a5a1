// Package quarantine prevents requests that crash upstreams from being retried
// on further upstreams.
//
// A Watcher per upstream records which requests were interrupted ("cut") when the
// upstream was lost. Each of them becomes a suspect. Suspects are identified by a
// fingerprint, a keyed hash that does not reveal the request. After losses of
// Settings.MinLosses distinct upstreams all instances refuse the fingerprint. A loss
// counts only if the request began to run there after the previous counted one, so
// that upstreams that end together, for a reason of their own, count once however many copies
// of a request they run. Losses in one failure domain within Settings.Together count once, too.
//
// Most suspects are harmless requests that ran concurrently with the one that
// crashed the upstream. Two mechanisms keep a harmless suspect from being cut again by the same
// crashing request. Where pkg/quota is available, suspects run one at a time across all instances:
// each needs a unit of the resource Resource(pool), which has a limit of 1. Elsewhere each
// suspect is confined to few upstreams of its pool, which all instances derive from its
// fingerprint; two suspects mostly have different ones, and all copies of one have the same. One
// successful response clears all earlier losses of a fingerprint.
//
// A refusal expires. The fingerprint is then a suspect with one loss, so one more
// loss refuses it again, for twice as long.
//
// Instances exchange losses and successful responses in small reports, which are
// sent only to instances in the home regions of the request. Each event has an ID and is sent to
// each instance until it has answered once; failed calls are repeated at growing intervals, within a
// budget. Where not every instance knows all others, those in the middle forward what is new to them. The
// refusals in force can be kept in a store, for instances that restart; see Service.Refusals.
package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Resource returns the name of the pkg/quota resource for the suspects of a pool. Its limit is 1.
func Resource(pool string) string { return "suspects/" + pool }

// Settings configures the quarantine. All instances must use the same values.
type Settings struct {
	// Key is the key of the fingerprint hashes: at least 16 bytes, the same on all instances.
	Key string `json:"key"`
	// CutWindow is the period within which two or more cut requests count as the loss of the upstream. 0 turns
	// this off: resets of the connections of a live upstream cut requests, too. Default 100ms.
	CutWindow table.Duration `json:"cut_window"`
	// ConfirmWindow is the period within which a refused connection or a new start ID
	// confirms that a single cut request was the loss of the upstream. Default 2s.
	ConfirmWindow table.Duration `json:"confirm_window"`
	// Together is the period within which losses in one failure domain count once. Default 1s.
	Together table.Duration `json:"together"`
	// MinLosses is the number of successive losses after which a fingerprint is refused. Default 2.
	MinLosses int `json:"min_losses"`
	// RestartTime is the period within which two losses of one upstream are the same loss. Default 10m.
	RestartTime table.Duration `json:"restart_time"`
	// Confine is the number of upstreams of a pool that a suspect is sent to. 0 turns this off. Default 0.
	Confine int `json:"confine"`
	// SuspectTime is how long a loss is remembered. Default 10m.
	SuspectTime table.Duration `json:"suspect_time"`
	// RefuseTime is the duration of the first refusal; each further refusal lasts twice as long. Default 10m.
	RefuseTime table.Duration `json:"refuse_time"`
	// MaxRefuseTime is the maximum duration of a refusal. Default 24h.
	MaxRefuseTime table.Duration `json:"max_refuse_time"`
	// MaxFingerprints is the maximum number of stored fingerprints, which bounds memory use. Default 4096.
	MaxFingerprints int `json:"max_fingerprints"`
}

// DefaultSettings returns the default settings. Key is empty and must be set.
func DefaultSettings() Settings {
	return Settings{
		CutWindow: table.Duration(100 * time.Millisecond), ConfirmWindow: table.Duration(2 * time.Second),
		Together: table.Duration(time.Second), MinLosses: 2, RestartTime: table.Duration(10 * time.Minute), SuspectTime: table.Duration(10 * time.Minute),
		RefuseTime: table.Duration(10 * time.Minute), MaxRefuseTime: table.Duration(24 * time.Hour),
		MaxFingerprints: 4096,
	}
}

// minKey is the minimum key length in bytes; shorter keys can be guessed.
const minKey = 16

// Validate returns all problems found in the settings; path is their JSON path prefix.
func (s Settings) Validate(path string) table.Problems {
	var p table.Problems
	if len(s.Key) < minKey {
		p.Add(path+".key", "is shorter than 16 bytes", "give all instances the same random key")
	}
	if s.CutWindow < 0 || s.ConfirmWindow <= 0 || s.ConfirmWindow < s.CutWindow || s.Together < 0 {
		p.Add(path, "cut_window, confirm_window or together is out of range", "use for example 100ms, 2s and 1s")
	}
	if s.MinLosses < 1 || s.MinLosses > maxLosses || s.RestartTime <= 0 || s.Confine < 0 {
		p.Add(path, "min_losses, restart_time or confine is out of range", "use for example 2, 10m and 0")
	}
	if s.SuspectTime <= 0 || s.RefuseTime <= 0 || s.MaxRefuseTime < s.RefuseTime {
		p.Add(path, "suspect_time, refuse_time or max_refuse_time is out of range", "use for example 10m, 10m and 24h")
	}
	if s.MaxFingerprints < 1 {
		p.Add(path+".max_fingerprints", "is less than 1", "use for example 4096")
	}
	return p
}

// Fingerprint is the keyed hash of a request.
type Fingerprint [16]byte

// Short returns the start of the fingerprint, for logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:4]) }

// Request holds the parts of a request that the fingerprint covers. They are equal when the caller repeats the request.
type Request struct {
	Method string
	Route  string
	Path   string
	// Identity is the value of the identity header. If it is set, the body is not hashed.
	Identity string
	// BodyDigest is a digest of the body, used only for requests without an identity.
	BodyDigest []byte
	// WithoutBody is set if the request has a body that the fingerprint does not cover. Such a fingerprint only tells
	// that the body must be read before the request is sent; it is never refused.
	WithoutBody bool
}

// Hasher computes the keyed hashes. It is safe for concurrent use.
type Hasher struct {
	// states pools keyed hash states, because key setup costs more than hashing a request.
	states sync.Pool
}

type state struct {
	mac hash.Hash
	buf []byte
}

// NewHasher returns a hasher for the key, which must have at least 16 bytes.
func NewHasher(key string) (*Hasher, error) {
	if len(key) < minKey {
		return nil, fault.New(fault.Invalid, "the quarantine key is shorter than 16 bytes", "give all instances the same random key")
	}
	h := &Hasher{}
	h.states.New = func() any { return &state{mac: hmac.New(sha256.New, []byte(key))} }
	return h, nil
}

// Fingerprint returns the fingerprint of a request.
func (h *Hasher) Fingerprint(r Request) Fingerprint {
	digest := r.BodyDigest
	if r.Identity != "" {
		digest = nil
	}
	sum := h.sum(digest, "request", r.Method, r.Route, r.Path, r.Identity)
	sum[0] &^= withoutBodyBit
	if r.WithoutBody {
		sum[0] |= withoutBodyBit
	}
	return Fingerprint(sum[:16])
}

// withoutBodyBit is set in the first byte of the fingerprints of requests without their body, so that all instances
// treat them alike.
const withoutBodyBit = 0x80

func (f Fingerprint) withoutBody() bool { return f[0]&withoutBodyBit != 0 }

// hash64 returns a 64-bit keyed hash that identifies an upstream or a failure domain.
func (h *Hasher) hash64(kind, a, b string) uint64 {
	sum := h.sum(nil, kind, a, b)
	return binary.BigEndian.Uint64(sum[:])
}

// sum hashes the parts, each prefixed with its length, so that distinct lists of parts never produce the same input.
func (h *Hasher) sum(last []byte, parts ...string) (out [sha256.Size]byte) {
	s := h.states.Get().(*state)
	s.mac.Reset()
	s.buf = s.buf[:0]
	for _, part := range parts {
		s.buf = binary.BigEndian.AppendUint64(s.buf, uint64(len(part)))
		s.buf = append(s.buf, part...)
	}
	s.buf = append(s.buf, last...)
	s.mac.Write(s.buf)
	s.mac.Sum(out[:0])
	// The buffer contains parts of the request; clear it before it returns to the pool.
	clear(s.buf)
	h.states.Put(s)
	return out
}

// Loss records that an upstream was lost while it was running a request.
type Loss struct {
	// Upstream and Domain are keyed hashes of the upstream and its failure domain.
	Upstream uint64
	Domain   uint64
	// At is when the request was cut.
	At time.Time
	// Began is when the request began to run, or zero if that is not known.
	Began time.Time
}

// follows reports whether the request may have begun to run only after the earlier loss.
func (l Loss) follows(earlier Loss) bool { return l.Began.IsZero() || l.Began.After(earlier.At) }
