package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

type row struct {
	value       []byte
	createIndex uint64
	modifyIndex uint64
	lockIndex   uint64
	session     string
}

// kvPair is the JSON form of a row in the API.
type kvPair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

// maxValueBytes is the largest value that the store accepts, in bytes.
const maxValueBytes = 1 << 20

const (
	// defaultWait is the default wait of a blocking query, as in the published API.
	defaultWait = 5 * time.Minute
	// maxWait is the longest wait of a blocking query, as in the published API.
	maxWait = 10 * time.Minute
)

// waitIndex returns the index of a blocking query; 0 means that the call does not block.
func waitIndex(r *http.Request) uint64 {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	return after
}

func parseWait(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key, q, after := r.PathValue("key"), r.URL.Query(), waitIndex(r)
	deadline := time.NewTimer(parseWait(q.Get("wait")))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		expiry := s.expire()
		pairs, index := s.read(key, q.Has("recurse"))
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		if after == 0 || index > after {
			s.answer(w, pairs, index)
			return
		}
		select {
		case <-changed:
		case <-expiry:
		case <-deadline.C:
			s.answer(w, pairs, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, pairs []kvPair, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, pairs)
}

// read returns the pairs of a key or prefix and the index of the last change to
// them, including deletions. If there was none, the index is the store-wide one.
// The caller holds mu.
func (s *Store) read(key string, recurse bool) ([]kvPair, uint64) {
	matches := func(k string) bool { return k == key || recurse && strings.HasPrefix(k, key) }
	var pairs []kvPair
	var index uint64
	for k, v := range s.rows {
		if matches(k) {
			index = max(index, v.modifyIndex)
			pairs = append(pairs, kvPair{Key: k, Value: v.value, CreateIndex: v.createIndex, ModifyIndex: v.modifyIndex, LockIndex: v.lockIndex, Session: v.session})
		}
	}
	for k, at := range s.tombstones {
		if matches(k) {
			index = max(index, at)
		}
	}
	if index == 0 {
		index = s.index
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].Key < pairs[j].Key })
	return pairs, index
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "the value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	if countPresent(q.Has("cas"), q.Has("acquire"), q.Has("release")) > 1 {
		http.Error(w, "Conflicting flags: cas, acquire and release exclude each other", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	key := r.PathValue("key")
	old, exists := s.rows[key]
	next := row{value: body, createIndex: old.createIndex, lockIndex: old.lockIndex, session: old.session}
	switch {
	case q.Has("cas") && !casMatches(q.Get("cas"), old, exists):
		fmt.Fprint(w, "false")
		return
	case q.Has("acquire") && !s.acquire(w, q.Get("acquire"), &next):
		return
	case q.Has("release") && old.session != q.Get("release"):
		fmt.Fprint(w, "false")
		return
	case q.Has("release"):
		next.session = ""
	}
	s.write(key, old, exists, next)
	fmt.Fprint(w, "true")
}

func countPresent(flags ...bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// write stores a row. A write that changes nothing does not advance the index. The caller holds mu.
func (s *Store) write(key string, old row, exists bool, next row) {
	if exists && bytes.Equal(old.value, next.value) && old.session == next.session && old.lockIndex == next.lockIndex {
		return
	}
	next.modifyIndex = s.nextIndex()
	if !exists {
		next.createIndex = next.modifyIndex
	}
	s.rows[key] = next
}

func casMatches(cas string, old row, exists bool) bool {
	want, err := strconv.ParseUint(cas, 10, 64)
	if err != nil {
		return false
	}
	if want == 0 {
		return !exists
	}
	return exists && old.modifyIndex == want
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	key, q := r.PathValue("key"), r.URL.Query()
	if old, exists := s.rows[key]; q.Has("cas") && !(exists && casMatches(q.Get("cas"), old, exists)) {
		fmt.Fprint(w, "false")
		return
	}
	s.deleteRows(func(k string) bool { return k == key || q.Has("recurse") && strings.HasPrefix(k, key) })
	fmt.Fprint(w, "true")
}

// deleteRows deletes the rows whose keys are selected and leaves a tombstone for each. The caller holds mu.
func (s *Store) deleteRows(selected func(key string) bool) {
	for k := range s.rows {
		if selected(k) {
			delete(s.rows, k)
			s.tombstones[k] = s.nextIndex()
		}
	}
}
