package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// refusalsName is the name under which refusals are kept in the store.
	refusalsName = "refusals"
	// refusalsInterval is the shortest time between two writes of them.
	refusalsInterval = 500 * time.Millisecond
	// refusalsTimeout bounds a write.
	refusalsTimeout = time.Second
	// sampleInterval is the time after which a request comes back that was not picked as a sample.
	sampleInterval = 500 * time.Millisecond
)

// quarantineSettings returns the settings of the quarantine on the platform, where no quota makes suspects run one at a
// time. A caller tries a harmless request a few times, so that three successive losses hardly ever are its own.
func quarantineSettings(key string) quarantine.Settings {
	s := quarantine.DefaultSettings()
	s.Key = key
	s.CutWindow = 0
	s.MinLosses = 3
	s.Confine = 2
	s.Together = 0 // the start of each run is known, so losses that have one cause count once anyway
	s.RestartTime = table.Duration(time.Second)
	return s
}

// quarantineService keeps requests that crash upstreams from all of them. Instances exchange what they have seen through
// the readers of the regions, which also keep the refusals in the store.
type quarantineService struct {
	*quarantine.Service
	cfg       settings.Settings
	log       logr.Logger
	followed  *followService
	checks    quarantine.Checks
	instances func() int
	seen      map[string][]byte // the shared values that were read, by region
	written   time.Time
}

var (
	_ kernel.Provisioner = (*quarantineService)(nil)
	_ kernel.Runner      = (*quarantineService)(nil)
	_ entry.Quarantine   = (*quarantineService)(nil)
)

// Provision implements kernel.Provisioner.
func (s *quarantineService) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peerService](k, PeerTransport)
	if err != nil {
		return err
	}
	if s.followed, err = kernel.Lookup[*followService](k, ControlFollow); err != nil {
		return err
	}
	s.instances = instanceCount(s.followed.Instances, s.cfg.Limits.MaxInstances)
	c := quarantine.Config{
		InstancesIn: func([]string) []peer.InstanceID { return s.followed.Contacts() },
		Forward:     true, Appeared: s.followed.ContactAppeared(), Settings: quarantineSettings(s.cfg.QuarantineKey), Log: s.log,
	}
	if p.TCPTransport != nil {
		c.Transport = p.TCPTransport
	}
	s.Service, err = quarantine.NewService(c)
	return err
}

// Run implements kernel.Runner.
func (s *quarantineService) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.Service.Run(ctx) })
	g.Go(func() error { return s.keepRefusals(ctx) })
	return g.Wait()
}

// keepRefusals takes over the refusals in the store and keeps those of this instance there.
func (s *quarantineService) keepRefusals(ctx context.Context) error {
	for {
		s.readRefusals(time.Now())
		s.writeRefusals(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.followed.SharedChanged():
		case <-s.Changed():
		}
	}
}

// refusalRecord is the stored form of refusals: until when each is in force, in Unix milliseconds, by fingerprint in
// hexadecimal.
type refusalRecord struct {
	Refused map[string]int64 `json:"refused"`
}

func encodeRefusals(refused map[quarantine.Fingerprint]time.Time) ([]byte, error) {
	record := refusalRecord{Refused: map[string]int64{}}
	for f, until := range refused {
		record.Refused[hex.EncodeToString(f[:])] = until.UnixMilli()
	}
	return json.Marshal(record)
}

func decodeRefusals(value []byte) (map[quarantine.Fingerprint]time.Time, error) {
	var record refusalRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the recorded refusals cannot be decoded", "remove the key; it is written again")
	}
	refused := map[quarantine.Fingerprint]time.Time{}
	for text, until := range record.Refused {
		var f quarantine.Fingerprint
		if len(text) != hex.EncodedLen(len(f)) {
			continue
		}
		if _, err := hex.Decode(f[:], []byte(text)); err == nil {
			refused[f] = time.UnixMilli(until)
		}
	}
	return refused, nil
}

func (s *quarantineService) readRefusals(now time.Time) {
	values := s.followed.Shared(refusalsName)
	for region, value := range values {
		if slices.Equal(s.seen[region], value) {
			continue
		}
		refused, err := decodeRefusals(value)
		if err != nil {
			s.log.Info("recorded refusals ignored", "region", region, "error", err.Error())
			continue
		}
		s.AddRefusals(now, refused)
	}
	s.seen = values
}

// writeRefusals writes the refusals in force if the store has others for this region, for example after it has lost
// what was written last.
func (s *quarantineService) writeRefusals(ctx context.Context, now time.Time) {
	if !s.followed.KeepsShared() || now.Sub(s.written) < refusalsInterval {
		return
	}
	refused := s.Refusals(now)
	value, known := s.followed.Shared(refusalsName)[s.cfg.Region]
	recorded, err := decodeRefusals(value)
	if !known && len(refused) == 0 || known && err == nil && sameFingerprints(refused, recorded) {
		return
	}
	s.written = now
	value, err = encodeRefusals(refused)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, refusalsTimeout)
		defer cancel()
		err = s.followed.WriteShared(ctx, refusalsName, value)
	}
	if err != nil {
		s.log.Info("refusals not recorded", "refusals", len(refused), "error", err.Error())
		return
	}
	s.log.Info("refusals recorded", "refusals", len(refused))
}

func sameFingerprints(a, b map[quarantine.Fingerprint]time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for f := range a {
		if _, ok := b[f]; !ok {
			return false
		}
	}
	return true
}

func (s *quarantineService) request(f entry.Fingerprint) quarantine.Request {
	return quarantine.Request{Identity: hex.EncodeToString(f[:])}
}

func upstreamOf(u table.Upstream) quarantine.Upstream {
	return quarantine.Upstream{ID: u.ID, FailureDomain: u.FailureDomain}
}

// Admit implements entry.Quarantine.
func (s *quarantineService) Admit(ctx context.Context, route *table.Route, f entry.Fingerprint) (entry.Admission, bool) {
	r := s.request(f)
	switch s.Decide(ctx, r) {
	case quarantine.Refuse:
		return entry.Admission{RetryAfter: time.Until(s.RefusedUntil(r))}, false
	case quarantine.Run:
		return entry.Admission{Done: func() {}}, true
	case quarantine.Sample:
		if rand.IntN(s.instances()) > 0 {
			return entry.Admission{RetryAfter: sampleInterval}, false
		}
	}
	return entry.Admission{Done: func() {}, Avoid: s.avoid(r, route), Suspect: true}, true
}

// avoid lists the upstreams of the route's pool that a suspect is kept from.
func (s *quarantineService) avoid(r quarantine.Request, route *table.Route) (ids []string) {
	tables := s.followed.Snapshot().Tables
	if tables == nil {
		return nil
	}
	pool := tables.Pools[route.Pool]
	var among []quarantine.Upstream
	for _, u := range pool.Upstreams {
		if pool.Eligible(u, route, nil) {
			among = append(among, upstreamOf(u))
		}
	}
	for _, u := range s.Confine(r, among) {
		ids = append(ids, u.ID)
	}
	return ids
}

// Suspected implements entry.Quarantine.
func (s *quarantineService) Suspected(_ *table.Route, f entry.Fingerprint) bool {
	r := s.request(f)
	r.WithoutBody = true
	return s.Service.Admit(time.Now(), r) != quarantine.Run
}

// Ended implements entry.Quarantine.
func (s *quarantineService) Ended(_ *table.Route, f entry.Fingerprint, e entry.RunEnd) {
	end, u := quarantine.Completed, upstreamOf(e.Upstream)
	if e.Lost {
		end = quarantine.Cut
	}
	r := s.request(f)
	r.WithoutBody = e.WithoutBody
	s.RecordOutcome(time.Now(), e.Began, u, r, end, nil)
	if e.Lost {
		s.checks.Start(u, e.Upstream.Address, func() { s.RecordRefusedConnection(time.Now(), u) })
	}
}
