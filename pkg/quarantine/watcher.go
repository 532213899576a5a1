package quarantine

import "time"

// Outcome says how a request at an upstream ended.
type Outcome int

const (
	// Completed means that the complete response was received.
	Completed Outcome = iota
	// Cut means that the connection broke before the end of the response.
	Cut
	// Abandoned means that this instance cancelled the request or the upstream refused to run it.
	Abandoned
)

// minCut is the number of requests cut within Settings.CutWindow that indicates
// the loss of an upstream. A single cut may be a connection fault.
const minCut = 2

// maxCuts is the maximum number of cut requests stored for one upstream.
const maxCuts = 256

// Suspect is a request that was cut when its upstream was lost.
type Suspect struct {
	Fingerprint Fingerprint
	Home        []string
	Began       time.Time
	CutAt       time.Time
}

// Watcher is the state machine that detects the loss of one upstream.
type Watcher struct {
	settings Settings
	hash     uint64    // of the upstream
	cuts     []Suspect // not yet reported as suspects, oldest first
	lostAt   time.Time
	startID  string
}

// NewWatcher returns a watcher for one upstream.
func NewWatcher(s Settings) *Watcher { return &Watcher{settings: s} }

// RecordCut records that a request that began to run at the given time was cut. It returns the suspects if the cut
// indicates the loss of the upstream or follows a loss within the confirm window.
func (w *Watcher) RecordCut(now, began time.Time, f Fingerprint, home []string) []Suspect {
	w.dropExpired(now)
	if len(w.cuts) < maxCuts {
		w.cuts = append(w.cuts, Suspect{f, home, began, now})
	}
	if !w.lostAt.IsZero() && now.Sub(w.lostAt) <= w.settings.ConfirmWindow.Std() {
		return w.takeSuspects()
	}
	if w.settings.CutWindow == 0 {
		return nil
	}
	recent := 0
	for _, c := range w.cuts {
		if now.Sub(c.CutAt) <= w.settings.CutWindow.Std() {
			recent++
		}
	}
	if recent >= minCut {
		return w.markLost(now)
	}
	return nil
}

// RecordRefusedConnection records that a new connection was refused. It returns the
// suspects if requests were cut within the confirm window.
func (w *Watcher) RecordRefusedConnection(now time.Time) []Suspect {
	w.dropExpired(now)
	if len(w.cuts) == 0 {
		return nil
	}
	return w.markLost(now)
}

// RecordStartID records the start ID in a response. A changed ID shows that the
// upstream restarted, which also makes requests suspects that are cut afterwards
// within the confirm window.
func (w *Watcher) RecordStartID(now time.Time, id string) []Suspect {
	w.dropExpired(now)
	if id == "" || id == w.startID {
		return nil
	}
	first := w.startID == ""
	w.startID = id
	if first {
		return nil
	}
	return w.markLost(now)
}

// RecordRemoteLoss records that another instance detected the loss of the upstream
// at the given time. Losses older than the confirm window are ignored.
func (w *Watcher) RecordRemoteLoss(now, at time.Time) []Suspect {
	w.dropExpired(now)
	if now.Sub(at) > w.settings.ConfirmWindow.Std() {
		return nil
	}
	if at.After(w.lostAt) {
		w.lostAt = at
	}
	return w.takeSuspects()
}

func (w *Watcher) markLost(now time.Time) []Suspect {
	w.lostAt = now
	return w.takeSuspects()
}

func (w *Watcher) takeSuspects() []Suspect {
	suspects := w.cuts
	w.cuts = nil
	return suspects
}

// idle reports whether the watcher holds nothing that a new one would lack.
func (w *Watcher) idle(now time.Time) bool {
	w.dropExpired(now)
	return len(w.cuts) == 0 && w.startID == "" && now.Sub(w.lostAt) > w.settings.ConfirmWindow.Std()
}

// dropExpired removes cut requests that were not confirmed within the confirm window.
func (w *Watcher) dropExpired(now time.Time) {
	old := 0
	for old < len(w.cuts) && now.Sub(w.cuts[old].CutAt) > w.settings.ConfirmWindow.Std() {
		old++
	}
	w.cuts = w.cuts[old:]
}
