package probe

import (
	"strconv"
	"strings"
	"time"
)

// Header is the response header in which an upstream reports its load.
const Header = "Turmericsail-Load"

// State is the state that an upstream reports for itself.
type State string

// States of an upstream. Unknown values are treated as StateNone, for compatibility
// with newer upstreams.
const (
	StateNone     State = ""
	StateOK       State = "ok"
	StateCold     State = "cold"
	StateDraining State = "draining"
	StateShedding State = "shedding"
)

// Bounds on a header; one that exceeds a bound is rejected as a whole.
const (
	maxHeaderBytes = 512
	maxLoad        = 1 << 20
	maxStartID     = 64
)

// Load is one load report of an upstream.
type Load struct {
	InFlight int
	Slots    int
	State    State
	StartID  string
	// At is the time at which the response with the report was received.
	At time.Time
}

// Age returns how old the report is.
func (l Load) Age(now time.Time) time.Duration { return now.Sub(l.At) }

// ParseLoad parses the value of the header. Unknown keys are ignored; a malformed
// value makes the whole report invalid, because a partial report would mix its values
// with older ones.
func ParseLoad(value string, now time.Time) (Load, bool) {
	l := Load{At: now}
	if value == "" || len(value) > maxHeaderBytes {
		return Load{}, false
	}
	seen := 0
	for rest := value; rest != ""; {
		var item string
		item, rest, _ = strings.Cut(rest, ",")
		key, v, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok {
			return Load{}, false
		}
		known, valid := l.set(strings.TrimSpace(key), strings.TrimSpace(v))
		if !valid || known&seen != 0 {
			return Load{}, false
		}
		seen |= known
	}
	if seen == 0 {
		return Load{}, false
	}
	return l, true
}

// set stores one value. known is a distinct bit for each known key, to detect
// duplicates, and 0 for an unknown one.
func (l *Load) set(key, v string) (known int, valid bool) {
	switch key {
	case "in_flight":
		return 1, parseCount(v, &l.InFlight)
	case "slots":
		return 2, parseCount(v, &l.Slots)
	case "state":
		switch s := State(v); s {
		case StateOK, StateCold, StateDraining, StateShedding:
			l.State = s
		}
		return 4, true
	case "start":
		l.StartID = v
		return 8, validStartID(v)
	}
	return 0, true
}

func parseCount(v string, out *int) bool {
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || n > maxLoad {
		return false
	}
	*out = int(n)
	return true
}

func validStartID(v string) bool {
	if v == "" || len(v) > maxStartID {
		return false
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] >= 0x7f {
			return false
		}
	}
	return true
}

// String formats the load as the value of the header.
func (l Load) String() string {
	text := "in_flight=" + strconv.Itoa(l.InFlight) + ", slots=" + strconv.Itoa(l.Slots)
	if l.State != StateNone {
		text += ", state=" + string(l.State)
	}
	if l.StartID != "" {
		text += ", start=" + l.StartID
	}
	return text
}
