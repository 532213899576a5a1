package standin

import (
	"encoding/json"
	"net/http"
)

// UpstreamFaults holds the faults to inject into a stand-in upstream.
type UpstreamFaults struct {
	// Down closes every connection without an answer.
	Down bool `json:"down"`
	// Drain refuses new work, marks the refusals as not run, and reports the state draining.
	Drain bool `json:"drain"`
	// Shed refuses new work and marks the refusals as not run.
	Shed bool `json:"shed"`
	// FailFast answers every request with status 500 without delay.
	FailFast bool `json:"fail_fast"`
	// Misleading makes the upstream report that it is healthy and has no load, whatever its state is.
	Misleading bool `json:"misleading"`
	// SlowMS is added to the service time of each request, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// CutAfter closes the connection of a download after this many bytes of the answer; zero disables it.
	CutAfter int64 `json:"cut_after"`
	// StallAfter stops sending a download after this many bytes of the answer and keeps the connection open; zero disables it.
	StallAfter int64 `json:"stall_after"`
}

// verdict is how an arriving request is handled.
type verdict int

const (
	serve verdict = iota
	refuse
	failFast
	abort
)

func (f *UpstreamFaults) verdict() verdict {
	switch {
	case f.Down:
		return abort
	case f.Drain, f.Shed:
		return refuse
	case f.FailFast:
		return failFast
	}
	return serve
}

func (v verdict) answer(w http.ResponseWriter) {
	switch v {
	case refuse:
		w.Header().Set("Turmericsail-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no work is accepted", http.StatusServiceUnavailable)
	case failFast:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		panic(http.ErrAbortHandler)
	}
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

func (u *Upstream) currentFaults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (u *Upstream) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.currentFaults()) }

func (u *Upstream) putFaults(w http.ResponseWriter, r *http.Request) {
	var f UpstreamFaults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(f)
	writeJSON(w, f)
}

func (u *Upstream) getRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Runs()) }

func (u *Upstream) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Counts()) }

// health serves the health check. With the fault Misleading it always reports ok.
func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	f := u.faults
	w.Header().Set("Turmericsail-Load", u.loadHeader())
	u.mu.Unlock()
	if !f.Misleading && f.verdict() != serve {
		f.verdict().answer(w)
		return
	}
	writeJSON(w, map[string]string{"status": "ok"})
}
