//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items of a page of kv-range; the pages allow 500 at most.
const pageItems = 50

// item is an item of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is one write or removal.
type event struct {
	item
	deleted bool
	at      time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	// staleness returns how old the answer to a stale read of a page is, which begins after the given key.
	staleness func(after string) time.Duration

	// history is how long events are kept; zero means forever.
	history time.Duration

	mu       sync.Mutex
	items    map[string]item
	events   []event
	revision uint64
	leases   map[uint64]*lease
	leaseID  uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		staleness: func(string) time.Duration { return 0 },
		items:     map[string]item{}, revision: 10, leases: map[uint64]*lease{}, changed: make(chan struct{}),
	}
}

// setHistory sets how long events are kept for watches.
func (s *store) setHistory(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = d
}

// dropped returns the revision of the latest event that is no longer kept for watches.
func (s *store) dropped() (revision uint64) {
	if s.history == 0 {
		return 0
	}
	for _, e := range s.events {
		if time.Since(e.at) < s.history {
			break
		}
		revision = e.Revision
	}
	return revision
}

// write writes an item as the operator or a server does. It returns its revision.
func (s *store) write(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, []byte(value), 0)
	s.wake()
	return s.revision
}

// erase removes an item as the operator or a server does.
func (s *store) erase(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
	s.wake()
}

func (s *store) put(key string, value []byte, owner uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{key, value, s.revision, created, owner}
	s.items[key] = i
	s.events = append(s.events, event{i, false, time.Now()})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.events = append(s.events, event{item{Key: key, Revision: s.revision}, true, time.Now()})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.drop(key)
	}
	s.wake()
}

// asOf returns the items and the revision at a time.
func (s *store) asOf(at time.Time) (map[string]item, uint64) {
	items, revision := map[string]item{}, uint64(10)
	for _, e := range s.events {
		if e.at.After(at) {
			break
		}
		revision = e.Revision
		if e.deleted {
			delete(items, e.Key)
		} else {
			items[e.Key] = e.item
		}
	}
	return items, revision
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	var status int
	var body any
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		status, body = s.get(r)
	case path == "/v1/kv-range":
		status, body = s.list(r)
	case path == "/v1/kv-watch":
		status, body = s.watch(r)
	case path == "/v1/kv-txn":
		status, body = s.transact(r)
	case path == "/v1/kv-lease":
		status, body = s.grant(r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		status, body = s.keep(strings.TrimPrefix(path, "/v1/kv-keep/"))
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		status, body = s.end(strings.TrimPrefix(path, "/v1/kv-lease-end/"))
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "current_rev": s.revision}
}

func (s *store) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	prefix, after := q.Get("path_prefix"), q.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	all, revision := s.items, s.revision
	if q.Get("allow_stale") == "1" {
		all, revision = s.asOf(time.Now().Add(-s.staleness(after)))
	}
	items := []item{}
	for key, i := range all {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped() {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []map[string]any{}
		for _, e := range s.events {
			switch {
			case e.Revision <= after || !strings.HasPrefix(e.Key, q.Get("path_prefix")):
			case e.deleted:
				events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
			default:
				events = append(events, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Created, "lease": e.Lease})
			}
		}
		woken, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		}
		select {
		case <-woken:
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[p.Key]}}
		}
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, i := range t.Writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var q struct {
		TTL string `json:"ttl_time"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return http.StatusBadRequest, nil
	}
	ttl, err := time.ParseDuration(q.TTL)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	s.leases[s.leaseID] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.leaseID, "ttl_time": q.TTL}
}

func (s *store) keep(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(text, 10, 64)
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"}
}

func (s *store) end(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(text, 10, 64)
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, nil
}
