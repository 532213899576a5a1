// Package standin provides small stand-ins for the platform's store and for
// upstreams, for demonstrations and tests. They implement the published protocols
// and support fault injection.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// StoreFaults holds the faults to inject into a stand-in store.
type StoreFaults struct {
	// Down answers every call with status 503, including watches that are waiting.
	Down bool `json:"down"`
	// DelayMS delays every call by this many milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of further writes that take effect but get no answer.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is the delay with which the instance list shows changes, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
}

// StoreCounts counts the calls of a stand-in store.
type StoreCounts struct {
	// Reads counts calls that read and return at once.
	Reads uint64 `json:"reads"`
	// Writes counts calls with a method other than GET.
	Writes uint64 `json:"writes"`
	// Watches counts blocking queries; each counts once, however long it waits.
	Watches uint64 `json:"watches"`
}

// ControlPath is the path of the stand-in's own control endpoint. GET answers
// {"faults": StoreFaults, "counts": StoreCounts}; PUT takes StoreFaults as JSON,
// replaces the faults and returns the same document as GET. Faults do not affect it.
const ControlPath = "/standin/faults"

// Store is a stand-in for the platform's key-value service. It implements
// http.Handler with the Consul endpoints for KV, sessions and services. Indexes
// follow the API: each change is assigned the next store-wide index, and a read
// reports the index of the last change to the keys read, including deletions.
type Store struct {
	mu         sync.Mutex
	index      uint64
	rows       map[string]row
	tombstones map[string]uint64
	sessions   map[string]session
	services   map[string][]registration
	changed    chan struct{}
	minTTL     time.Duration
	faults     StoreFaults
	counts     StoreCounts
	mux        *http.ServeMux
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		index: 1, rows: map[string]row{}, tombstones: map[string]uint64{}, sessions: map[string]session{},
		services: map[string][]registration{}, changed: make(chan struct{}), mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.delete)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	s.mux.HandleFunc("GET /v1/session/list", s.listSessions)
	s.mux.HandleFunc("GET /v1/health/service/{name}", s.listService)
	s.mux.HandleFunc("PUT /v1/agent/service/register", s.register)
	s.mux.HandleFunc("PUT /v1/agent/service/deregister/{id...}", s.deregister)
	return s
}

// SetFaults replaces the faults. They also apply to watches that are waiting.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		s.control(w, r)
		return
	}
	lose, ok := s.admit(r)
	if !ok {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return
	}
	if lose {
		s.mux.ServeHTTP(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// admit counts a call and applies the faults. It reports whether to drop the answer, and whether the store is up.
func (s *Store) admit(r *http.Request) (lose, ok bool) {
	s.mu.Lock()
	f := s.faults
	switch {
	case r.Method != http.MethodGet:
		s.counts.Writes++
		if f.LoseAnswers > 0 && !f.Down {
			s.faults.LoseAnswers--
			lose = true
		}
	case waitIndex(r) > 0:
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	s.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		}
	}
	return lose, !f.Down
}

type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header       { return d.h }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f StoreFaults
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{"faults": s.faults, "counts": s.counts})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// nextIndex assigns the index of a change and notifies the watches. The caller holds mu.
func (s *Store) nextIndex() uint64 {
	s.index++
	s.notifyWatches()
	return s.index
}

// notifyWatches makes waiting watches read their keys again. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
