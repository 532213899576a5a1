package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// service is the JSON form of a registered service in the API.
type service struct {
	ID      string
	Service string
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string
}

type registration struct {
	entry   service
	added   time.Time
	removed time.Time
}

func (s *Store) register(w http.ResponseWriter, r *http.Request) {
	var req struct {
		service
		Name string
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Name == "" {
		http.Error(w, "Missing service name or wrong JSON", http.StatusBadRequest)
		return
	}
	e := req.service
	e.Service = req.Name
	if e.ID == "" {
		e.ID = req.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markRemoved(e.ID)
	s.services[e.Service] = append(s.services[e.Service], registration{entry: e, added: time.Now()})
}

func (s *Store) deregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.markRemoved(r.PathValue("id")) {
		http.Error(w, "Unknown service ID", http.StatusNotFound)
	}
}

// markRemoved marks the registration of a service ID as removed, so that a lagging
// list still shows it, and deletes registrations that were removed more than
// maxListLag ago. The caller holds mu.
func (s *Store) markRemoved(id string) (found bool) {
	now := time.Now()
	for name, rows := range s.services {
		kept := rows[:0]
		for _, l := range rows {
			if l.entry.ID == id && l.removed.IsZero() {
				l.removed, found = now, true
			}
			if l.removed.IsZero() || now.Sub(l.removed) <= maxListLag {
				kept = append(kept, l)
			}
		}
		s.services[name] = kept
	}
	return found
}

// maxListLag is the largest lag of the list that the stand-in can simulate.
const maxListLag = time.Minute

func (s *Store) listService(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(s.faults.ListLagMS) * time.Millisecond)
	rows := []map[string]any{}
	for _, l := range s.services[r.PathValue("name")] {
		if !l.added.After(asOf) && (l.removed.IsZero() || l.removed.After(asOf)) {
			node := map[string]string{"Node": "standin", "Address": "127.0.0.1"}
			rows = append(rows, map[string]any{"Node": node, "Service": l.entry, "Checks": []any{}})
		}
	}
	writeJSON(w, rows)
}
