package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

type session struct {
	name        string
	ttl         time.Duration // zero: the session never expires
	deadline    time.Time
	deletesRows bool // behaviour "delete": the session's rows are deleted when it ends
}

func (h session) renewed() session {
	h.deadline = time.Now().Add(h.ttl)
	return h
}

// SetSessionTTLMin sets the shortest accepted time to live of a session, like the
// published setting session_ttl_min (10s there by default, none here).
func (s *Store) SetSessionTTLMin(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minTTL = d
}

func (s *Store) createSession(w http.ResponseWriter, r *http.Request) {
	var req struct{ Name, TTL, Behavior string }
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var ttl time.Duration
	if req.TTL != "" {
		var err error
		if ttl, err = time.ParseDuration(req.TTL); err != nil || ttl < 0 {
			http.Error(w, fmt.Sprintf("Request decode failed: TTL %q is no duration", req.TTL), http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ttl > 0 && ttl < s.minTTL {
		http.Error(w, fmt.Sprintf("Invalid Session TTL '%v', must be between [%v=24h0m0s]", ttl, s.minTTL), http.StatusBadRequest)
		return
	}
	id := fmt.Sprintf("session-%d", s.nextIndex())
	s.sessions[id] = session{name: req.Name, ttl: ttl, deletesRows: req.Behavior == "delete"}.renewed()
	s.notifyWatches() // watches must wait for the new deadline
	writeJSON(w, map[string]string{"ID": id})
}

func (s *Store) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id := r.PathValue("id")
	held, ok := s.sessions[id]
	if !ok {
		http.Error(w, fmt.Sprintf("Session id %q not found", id), http.StatusNotFound)
		return
	}
	s.sessions[id] = held.renewed()
	writeJSON(w, []map[string]string{{"ID": id, "TTL": held.ttl.String()}})
}

func (s *Store) listSessions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	list := []map[string]string{}
	for id, held := range s.sessions {
		list = append(list, map[string]string{"ID": id, "Name": held.name, "TTL": held.ttl.String()})
	}
	writeJSON(w, list)
}

func (s *Store) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(r.PathValue("id"))
	fmt.Fprint(w, "true")
}

// acquire locks a row for a session. If it cannot, it answers the call and returns false. The caller holds mu.
func (s *Store) acquire(w http.ResponseWriter, id string, next *row) bool {
	if _, live := s.sessions[id]; !live {
		http.Error(w, fmt.Sprintf("invalid session %q", id), http.StatusInternalServerError)
		return false
	}
	if next.session != "" && next.session != id {
		fmt.Fprint(w, "false")
		return false
	}
	if next.session == "" {
		next.lockIndex++
	}
	next.session = id
	return true
}

// expire ends the sessions that were not renewed in time. The returned channel
// fires when the next one may expire; nil means never. The caller holds mu.
func (s *Store) expire() <-chan time.Time {
	now := time.Now()
	var next time.Time
	for id, held := range s.sessions {
		switch {
		case held.ttl == 0:
		case now.After(held.deadline):
			s.endSession(id)
		case next.IsZero() || held.deadline.Before(next):
			next = held.deadline
		}
	}
	if next.IsZero() {
		return nil
	}
	return time.After(next.Sub(now) + time.Millisecond)
}

// endSession ends a session and deletes or unlocks its rows. The caller holds mu.
func (s *Store) endSession(id string) {
	held, live := s.sessions[id]
	if !live {
		return
	}
	delete(s.sessions, id)
	if held.deletesRows {
		s.deleteRows(func(key string) bool { return s.rows[key].session == id })
		return
	}
	for key, v := range s.rows {
		if v.session == id {
			v.session, v.modifyIndex = "", s.nextIndex()
			s.rows[key] = v
		}
	}
}
