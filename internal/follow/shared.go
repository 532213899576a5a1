package follow

import (
	"bytes"
	"context"
	"maps"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// sharedPrefix is the prefix of the keys in which the reader of a region keeps what all instances must know, also
// after a restart of all: sharedPrefix + name + "/" + region.
const sharedPrefix = "turmericsail/shared/"

// sharedValue is the decoded value of such a key.
type sharedValue struct {
	name, region string
	value        []byte
}

func decodeShared(e store.Entry) (*sharedValue, error) {
	name, region, ok := strings.Cut(strings.TrimPrefix(e.Key, sharedPrefix), "/")
	if !ok {
		return nil, fault.Newf(fault.Invalid, "remove the key", "%q names no region", e.Key)
	}
	return &sharedValue{name, region, e.Value}, nil
}

// sharedValues returns the shared values by name and region.
func (s *followedState) sharedValues() map[string]map[string][]byte {
	values := map[string]map[string][]byte{}
	for _, r := range s.records {
		if v := r.decoded.shared; v != nil {
			if values[v.name] == nil {
				values[v.name] = map[string][]byte{}
			}
			values[v.name][v.region] = v.value
		}
	}
	return values
}

// publishShared publishes the shared values and reports a change to SharedChanged.
func (f *Follower) publishShared(values map[string]map[string][]byte) {
	same := func(a, b map[string][]byte) bool { return maps.EqualFunc(a, b, bytes.Equal) }
	if old := f.shared.Load(); old != nil && maps.EqualFunc(*old, values, same) {
		return
	}
	f.shared.Store(&values)
	select {
	case f.sharedChanged <- struct{}{}:
	default:
	}
}

// Shared returns the values that the readers of the regions keep under a name, by region.
func (f *Follower) Shared(name string) map[string][]byte {
	if values := f.shared.Load(); values != nil {
		return (*values)[name]
	}
	return nil
}

// SharedChanged returns a channel that receives a value after shared values have changed.
func (f *Follower) SharedChanged() <-chan struct{} { return f.sharedChanged }

// KeepsShared reports whether this instance keeps the shared values of its region.
func (f *Follower) KeepsShared() bool { return f.writer != nil && f.actsAsReader() }

// WriteShared writes the value of the own region. After an OutcomeUnknown fault it may have been written.
func (f *Follower) WriteShared(ctx context.Context, name string, value []byte) error {
	return f.writer.Write(ctx, sharedPrefix+name+"/"+f.self.Region, value)
}
