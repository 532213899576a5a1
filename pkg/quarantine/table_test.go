package quarantine

import (
	"encoding/binary"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var start = time.Unix(10_000, 0)

func settings() Settings {
	s := DefaultSettings()
	s.Key = "0123456789abcdef"
	return s
}

func fingerprint(n int) Fingerprint {
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

// loss returns the loss of an upstream that is alone in its failure domain.
func loss(upstream int, at time.Duration) Loss {
	return Loss{Upstream: uint64(upstream), Domain: uint64(upstream), At: start.Add(at)}
}

// Guards against a refusal without two distinct losses, and against a missing refusal after them.
func TestVerdicts(t *testing.T) {
	second := time.Second
	sameDomain := Loss{Upstream: 2, Domain: 1, At: start.Add(second / 2)}
	laterInDomain := Loss{Upstream: 2, Domain: 1, At: start.Add(5 * second)}
	for _, c := range []struct {
		name   string
		losses []Loss
		want   Verdict
	}{
		{"no loss", nil, Run},
		{"one loss", []Loss{loss(1, 0)}, Serialize},
		{"one loss seen twice", []Loss{loss(1, 0), loss(1, second)}, Serialize},
		{"two distinct losses", []Loss{loss(1, 0), loss(2, second)}, Refuse},
		{"one loss seen often, then an earlier one", []Loss{loss(1, 5*second), loss(1, 6*second), loss(1, 7*second), loss(1, 8*second), loss(2, 0)}, Refuse},
		{"a failure of the domain", []Loss{loss(1, 0), sameDomain}, Serialize},
		{"one after the other in a domain", []Loss{loss(1, 0), laterInDomain}, Refuse},
		{"a failure of the domain and another loss", []Loss{loss(1, 0), sameDomain, loss(3, second)}, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, f, now := NewTable(settings()), fingerprint(1), start.Add(10*second)
			for _, l := range c.losses {
				table.RecordLoss(now, f, l, nil)
			}
			is.Equal(table.Admit(now, f), c.want)
			is.Equal(table.Admit(now, fingerprint(2)), Run)
		})
	}
}

// Guards against the refusal of a harmless request whose copies were cut by several crashing ones within milliseconds, while
// the answers of other copies were on their way.
func TestRefusalWaitsForAnswersOfCopies(t *testing.T) {
	s := settings()
	s.Confine, s.MinLosses, s.Together = 2, 3, 0
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for _, c := range []struct {
		name     string
		cuts     [3]int // milliseconds; each run began when the one before was cut
		answered bool
		at       int
		want     Verdict
	}{
		{"three losses", [3]int{0, 10, 24}, false, 24, Hold},
		{"until an answer can have arrived", [3]int{0, 10, 24}, false, 273, Hold},
		{"then", [3]int{0, 10, 24}, false, 274, Refuse},
		{"answered", [3]int{0, 10, 24}, true, 40, Run},
		{"answered, later", [3]int{0, 10, 24}, true, 400, Run},
		{"three losses over a longer time", [3]int{0, 1000, 2500}, false, 2749, Hold},
		{"then, after a longer time", [3]int{0, 1000, 2500}, false, 2750, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, f := NewTable(s), fingerprint(1)
			for i, at := range c.cuts {
				l := Loss{Upstream: uint64(i + 1), Domain: uint64(i + 1), At: ms(at)}
				if i > 0 {
					l.Began = ms(c.cuts[i-1]).Add(time.Microsecond)
				}
				is.True(table.RecordLoss(ms(at), f, l, nil))
			}
			if c.answered {
				is.True(table.RecordSuccess(ms(30), f, ms(30), nil))
			}
			is.Equal(table.Admit(ms(c.at), f), c.want)
		})
	}
}

// Guards against a crashing request that is not refused since its losses were put down to another request, which was
// answered since.
func TestAnswerToAnotherSuspectDecidesAgain(t *testing.T) {
	is := is.New(t)
	table := NewTable(fleetSettings())
	crashing, harmless := fingerprint(1), fingerprint(2)
	lose := func(at time.Time, u uint64, cut ...Fingerprint) {
		for _, f := range cut {
			table.RecordLoss(at, f, Loss{Upstream: u, Domain: u, At: at, Began: at.Add(-10 * time.Millisecond)}, nil)
		}
	}
	for u := range uint64(3) {
		lose(start.Add(time.Duration(u)*50*time.Millisecond), u+1, crashing, harmless)
	}
	lose(start.Add(150*time.Millisecond), 4, harmless) // of another cause
	now := start.Add(160 * time.Millisecond)
	is.Equal(table.Admit(now, crashing), Serialize) // the other one has more losses
	is.True(table.RecordSuccess(now, harmless, now, nil))
	is.Equal(table.Admit(now, harmless), Run)
	is.Equal(table.Admit(now, crashing), Hold)
	is.Equal(table.Admit(now.Add(clearTime), crashing), Refuse)
}

// Guards against copies of a crashing request that all instances send at once, since the losses that count against it were
// put down in part to another crashing request.
func TestPartlyExplainedLossesAreSampled(t *testing.T) {
	other, f := fingerprint(1), fingerprint(2)
	for _, c := range []struct {
		name      string
		upstreams []int
		want      Verdict
	}{
		{"two losses, none explained", []int{5, 6}, Serialize},
		{"three losses, one explained", []int{4, 5, 6}, Sample},
		{"three losses, two explained", []int{3, 4, 5}, Serialize},
		{"four losses, two explained", []int{3, 4, 5, 6}, Hold}, // not fewer than the other one
		{"three losses, none explained", []int{5, 6, 7}, Hold},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, now := NewTable(fleetSettings()), start.Add(time.Second)
			lose := func(f Fingerprint, u int) {
				l := loss(u, time.Duration(u)*50*time.Millisecond)
				l.Began = l.At.Add(-10 * time.Millisecond)
				table.RecordLoss(now, f, l, nil)
			}
			for u := range 4 {
				lose(other, u+1)
			}
			for _, u := range c.upstreams {
				lose(f, u)
			}
			is.Equal(table.Admit(now, other), Hold)
			is.Equal(table.Admit(now, f), c.want)
			is.True(table.RecordSuccess(now, f, now, nil))
			is.Equal(table.Admit(now, f), Run)
		})
	}
}

// Guards against a refusal that a loss of another request prolongs at its end.
func TestLossOfAnotherRequestDoesNotProlongARefusal(t *testing.T) {
	is := is.New(t)
	table := NewTable(fleetSettings())
	lose := func(f Fingerprint, begin time.Time) {
		for u := range uint64(3) {
			at := begin.Add(time.Duration(u) * 50 * time.Millisecond)
			table.RecordLoss(at, f, Loss{Upstream: u + 1, Domain: u + 1, At: at, Began: at.Add(-10 * time.Millisecond)}, nil)
		}
	}
	lose(fingerprint(1), start)
	end := table.RefusedUntil(fingerprint(1))
	is.True(start.Before(end))
	lose(fingerprint(2), end) // before Expire is called
	is.Equal(table.Admit(end.Add(time.Second), fingerprint(1)), Serialize)
	is.Equal(table.Admit(end.Add(time.Second), fingerprint(2)), Refuse)
}

// Guards against a refusal that ends early since an answer before its losses arrives late.
func TestLateAnswerDoesNotShortenARefusal(t *testing.T) {
	is := is.New(t)
	table := NewTable(fleetSettings())
	now := start
	f := fingerprint(1)
	u := uint64(0)
	lose := func() {
		u++
		table.RecordLoss(now, f, Loss{Upstream: u, Domain: u, At: now, Began: now.Add(-10 * time.Millisecond)}, nil)
		now = now.Add(50 * time.Millisecond)
	}
	for range 3 {
		lose()
	}
	now = table.RefusedUntil(f)
	table.Expire(now)
	answered := now
	now = now.Add(20 * time.Millisecond)
	for range 3 {
		lose()
	}
	until := table.RefusedUntil(f)
	is.True(until.Sub(now) > 15*time.Minute) // the second refusal is longer
	is.True(table.RecordSuccess(now, f, answered, nil))
	now = until.Add(-time.Second)
	table.Expire(now)
	is.Equal(table.Admit(now, f), Refuse)
}

// Guards against a refusal that ends early or never, and against a crashing request
// that can take down two more upstreams after each refusal.
func TestFingerprintIsSuspectAfterRefusal(t *testing.T) {
	is := is.New(t)
	table, f, now := NewTable(settings()), fingerprint(1), start
	table.RecordLoss(now, f, loss(1, 0), nil)
	table.RecordLoss(now, f, loss(2, 0), nil)
	now = now.Add(10*time.Minute - time.Second)
	table.Expire(now)
	is.Equal(table.Admit(now, f), Refuse)
	now = now.Add(time.Second)
	table.Expire(now)
	is.Equal(table.Admit(now, f), Serialize)
	table.RecordLoss(now, f, loss(2, 10*time.Minute), nil)
	is.Equal(table.Admit(now, f), Serialize) // the same upstream again
	table.RecordLoss(now, f, loss(3, 10*time.Minute), nil)
	is.Equal(table.Admit(now.Add(19*time.Minute), f), Refuse)
	now = now.Add(31 * time.Minute)
	table.Expire(now)
	is.Equal(table.Len(), 0)
}

// Guards against verdicts that depend on the order or number of deliveries, which
// would make one instance refuse a request that another one runs.
func TestOrderDoesNotMatter(t *testing.T) {
	type event struct {
		upstream int // 0 is a successful response
		at       time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{rapid.IntRange(0, 3).Draw(t, "upstream"), time.Duration(rapid.IntRange(1, 20).Draw(t, "at")) * time.Second}
		}), 1, 12).Draw(t, "events")
		now, f := start.Add(time.Minute), fingerprint(1)
		run := func(order []event) Verdict {
			table := NewTable(settings())
			for _, e := range order {
				if e.upstream == 0 {
					table.RecordSuccess(now, f, start.Add(e.at), nil)
				} else {
					table.RecordLoss(now, f, loss(e.upstream, e.at), nil)
				}
			}
			return table.Admit(now, f)
		}
		cleared, lost := time.Duration(0), map[int]bool{}
		for _, e := range events {
			if e.upstream == 0 {
				cleared = max(cleared, e.at)
			}
		}
		for _, e := range events {
			if e.upstream != 0 && e.at > cleared {
				lost[e.upstream] = true
			}
		}
		want := Verdict(min(len(lost), 2))
		doubled := append(append([]event{}, events...), events...)
		if got := run(rapid.Permutation(doubled).Draw(t, "order")); got != want {
			t.Fatalf("verdict %d instead of %d", got, want)
		}
	})
}

// Guards against unbounded memory use, and against many new suspects evicting a refusal.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := settings()
	s.MaxFingerprints = 50
	table := NewTable(s)
	table.RecordLoss(start, fingerprint(0), loss(1, 0), nil)
	table.RecordLoss(start, fingerprint(0), loss(2, 0), nil)
	for i := range 1000 {
		table.RecordLoss(start, fingerprint(i+1), loss(1, 0), nil)
		is.True(table.Len() <= 50)
	}
	is.Equal(table.Admit(start, fingerprint(0)), Refuse)
}

// Guards against undetected losses, and against connection faults and deadlines
// that are counted as losses.
func TestWatcherFindsLosses(t *testing.T) {
	is := is.New(t)
	f, g := fingerprint(1), fingerprint(2)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := NewWatcher(settings())
	is.Equal(len(w.RecordCut(at(0), time.Time{}, f, nil)), 0)
	is.Equal(len(w.RecordCut(at(50), time.Time{}, g, nil)), 2) // two cuts within the cut window
	is.Equal(len(w.RecordCut(at(60), time.Time{}, f, nil)), 1) // a late cut of the same loss
	w = NewWatcher(settings())
	is.Equal(len(w.RecordCut(at(0), time.Time{}, f, nil)), 0)
	is.Equal(len(w.RecordCut(at(500), time.Time{}, g, nil)), 0)
	is.Equal(len(w.RecordRefusedConnection(at(600))), 2)
	w = NewWatcher(settings())
	is.Equal(len(w.RecordStartID(at(0), "s1")), 0)
	w.RecordCut(at(100), time.Time{}, f, nil)
	is.Equal(len(w.RecordStartID(at(200), "s1")), 0)
	is.Equal(len(w.RecordStartID(at(300), "s2")), 1)
	is.Equal(len(w.RecordCut(at(400), time.Time{}, g, nil)), 1) // cut by the same restart
	w.RecordCut(at(3000), time.Time{}, f, nil)
	is.Equal(len(w.RecordRefusedConnection(at(6000))), 0) // after the confirm window
}

// Guards against fingerprints that reveal the request because they do not depend on
// the key, that confuse the parts of a request, or that differ between repeats.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	h, err := NewHasher("0123456789abcdef")
	is.NoErr(err)
	other, _ := NewHasher("0123456789abcdeX")
	r := Request{Method: "POST", Route: "credit", Path: "/a", Identity: "7", BodyDigest: []byte{1}}
	repeat := r
	repeat.BodyDigest = nil // with an identity the body is not hashed
	is.Equal(h.Fingerprint(r), h.Fingerprint(repeat))
	is.True(h.Fingerprint(r) != other.Fingerprint(r))
	is.True(h.Fingerprint(Request{Route: "a", Path: "b"}) != h.Fingerprint(Request{Route: "ab"}))
	r.Identity = ""
	repeat = r
	repeat.BodyDigest = []byte{2}
	is.True(h.Fingerprint(r) != h.Fingerprint(repeat))
	_, err = NewHasher("short")
	is.True(err != nil)
}
