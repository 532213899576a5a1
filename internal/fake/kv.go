package fake

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// KV is an in-memory implementation of store.KV with injectable faults.
type KV struct {
	mu              sync.Mutex
	entries         map[string]store.Entry // by key
	revision        uint64
	down            bool
	responsesToLose int
}

var _ store.KV = (*KV)(nil)

// NewKV returns an empty store.
func NewKV() *KV { return &KV{entries: make(map[string]store.Entry)} }

// SetDown sets whether every call fails with fault.Unavailable.
func (k *KV) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// DropResponses makes the next n calls of CompareAndSwap that succeed store their value
// but return fault.OutcomeUnknown, as if the response had been lost.
func (k *KV) DropResponses(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.responsesToLose = n
}

// AllResponsesDropped reports whether all responses that were to be lost have been lost.
func (k *KV) AllResponsesDropped() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.responsesToLose == 0
}

func (k *KV) checkAvailable() error {
	if k.down {
		return fault.New(fault.Unavailable, "the store is down", "wait for the store")
	}
	return nil
}

// Get implements store.KV.
func (k *KV) Get(_ context.Context, key string) (store.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.checkAvailable(); err != nil {
		return store.Entry{}, err
	}
	e, ok := k.entries[key]
	if !ok {
		return store.Entry{}, fault.Newf(fault.NotFound, "write it first", "there is no key %q", key)
	}
	return e, nil
}

// List implements store.KV.
func (k *KV) List(_ context.Context, prefix string) ([]store.Entry, uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.checkAvailable(); err != nil {
		return nil, 0, err
	}
	var out []store.Entry
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, k.revision, nil
}

// CompareAndSwap implements store.KV.
func (k *KV) CompareAndSwap(_ context.Context, key string, value []byte, revision uint64) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.checkAvailable(); err != nil {
		return 0, err
	}
	if k.entries[key].Revision != revision {
		return 0, fault.Newf(fault.Conflict, "read it again", "key %q no longer has revision %d", key, revision)
	}
	k.revision++
	k.entries[key] = store.Entry{Key: key, Value: value, Revision: k.revision}
	if k.responsesToLose > 0 {
		k.responsesToLose--
		return 0, fault.New(fault.OutcomeUnknown, "the response of the store was lost", "read the key back")
	}
	return k.revision, nil
}

// Delete implements store.KV.
func (k *KV) Delete(_ context.Context, key string, revision uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.checkAvailable(); err != nil {
		return err
	}
	if k.entries[key].Revision != revision {
		return fault.Newf(fault.Conflict, "read it again", "key %q no longer has revision %d", key, revision)
	}
	delete(k.entries, key)
	k.revision++
	return nil
}

// Watch implements store.KV. It returns the current entries without waiting for a change.
func (k *KV) Watch(ctx context.Context, prefix string, _ uint64) ([]store.Entry, uint64, error) {
	return k.List(ctx, prefix)
}
