package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/intake"
	"github.com/turmericsail/turmericsail/pkg/kernel"
)

const (
	// requestLimitsName is the name under which granters keep the request limits of upstreams in the store.
	requestLimitsName = "request-limits"
	// requestLimitsInterval is the time between two looks at what is kept, and the shortest time between two writes.
	requestLimitsInterval = 250 * time.Millisecond
	// requestLimitsTimeout bounds a write.
	requestLimitsTimeout = time.Second
)

var _ kernel.Runner = (*intakeService)(nil)

// sharedStore holds the shared values of the regions.
type sharedStore interface {
	Shared(name string) map[string][]byte
	WriteShared(ctx context.Context, name string, value []byte) error
}

// requestLimits tells all instances of the request limits that granters know, also those that have sent nothing to the
// upstream yet. Without it, the first requests of many instances together exceed the limit.
type requestLimits struct {
	service *intake.Service
	store   sharedStore
	region  string
	seen    map[string][]byte // the values that were read, by region
	known   map[string]map[string]float64
}

// requestLimitsRecord is the stored form: requests per second by upstream.
type requestLimitsRecord struct {
	PerSecond map[string]float64 `json:"per_second"`
}

func decodeRequestLimits(value []byte) (map[string]float64, error) {
	var record requestLimitsRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the recorded request limits cannot be decoded", "remove the key; it is written again")
	}
	return record.PerSecond, nil
}

// read takes over the limits that are new in the record of a region. Those that were read before are not taken again: the
// instance may have heard since that they ended.
func (l *requestLimits) read(now time.Time) (err error) {
	values := l.store.Shared(requestLimitsName)
	known := map[string]map[string]float64{}
	for region, value := range values {
		if bytes.Equal(l.seen[region], value) {
			known[region] = l.known[region]
			continue
		}
		limits, decodeErr := decodeRequestLimits(value)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		added := maps.Clone(limits)
		maps.DeleteFunc(added, func(upstream string, _ float64) bool { _, ok := l.known[region][upstream]; return ok })
		l.service.Introduce(added, now)
		known[region] = limits
	}
	l.seen, l.known = values, known
	return err
}

// write keeps the limits of the own region in the store while this instance grants for it.
func (l *requestLimits) write(ctx context.Context, now time.Time) error {
	limits, grants := l.service.Limits(now)
	recorded, exists := l.known[l.region]
	if !grants || maps.Equal(limits, recorded) && (exists || len(limits) == 0) {
		return nil
	}
	value, err := json.Marshal(requestLimitsRecord{limits})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestLimitsTimeout)
	defer cancel()
	return l.store.WriteShared(ctx, requestLimitsName, value)
}

// Run implements kernel.Runner.
func (s *intakeService) Run(ctx context.Context) error {
	ticker := time.NewTicker(requestLimitsInterval)
	defer ticker.Stop()
	for s.limits != nil {
		if err := s.limits.read(time.Now()); err != nil {
			s.log.Info("recorded request limits ignored", "error", err.Error())
		}
		if err := s.limits.write(ctx, time.Now()); err != nil {
			s.log.Info("request limits not recorded", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	<-ctx.Done()
	return ctx.Err()
}
