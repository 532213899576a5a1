package probe

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// Guards against partially parsed reports, and against rejecting reports of newer upstreams.
func TestParseLoad(t *testing.T) {
	now := time.Unix(50, 0)
	for _, c := range []struct {
		value string
		ok    bool
		want  Load
	}{
		{"in_flight=3, slots=4, state=ok, start=k3x9", true, Load{3, 4, StateOK, "k3x9", now}},
		{"slots=4,in_flight=0", true, Load{0, 4, StateNone, "", now}},
		{"state=napping, mood=good, slots=2", true, Load{0, 2, StateNone, "", now}},
		{"", false, Load{}}, {"mood=good", false, Load{}}, {"slots", false, Load{}},
		{"slots=4, slots=5", false, Load{}}, {"slots=-1", false, Load{}},
		{"in_flight=99999999999", false, Load{}}, {"start=", false, Load{}}, {"start=a b", false, Load{}},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			l, ok := ParseLoad(c.value, now)
			is.Equal(ok, c.ok)
			is.Equal(l, c.want)
		})
	}
}

// Guards against panics, values out of bounds and reports that change in a round trip.
func FuzzParseLoad(f *testing.F) {
	for _, seed := range []string{"in_flight=3, slots=4, state=ok, start=k3x9", "=", ",,", "slots=4,slots=4", "start=\x00", "state=cold"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		now := time.Unix(50, 0)
		l, ok := ParseLoad(value, now)
		if !ok {
			return
		}
		if l.InFlight < 0 || l.InFlight > maxLoad || l.Slots < 0 || l.Slots > maxLoad || len(l.StartID) > maxStartID {
			t.Fatalf("%q gives %+v", value, l)
		}
		if again, ok := ParseLoad(l.String(), now); !ok || again != l {
			t.Fatalf("%q gives %+v, printed and read again %+v", value, l, again)
		}
	})
}

func BenchmarkParseLoad(b *testing.B) {
	now := time.Now()
	for b.Loop() {
		ParseLoad("in_flight=3, slots=4, state=ok, start=k3x9", now)
	}
}

func BenchmarkRecord(b *testing.B) {
	s := NewStats(DefaultSettings())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Record(time.Now(), Success, time.Millisecond)
		}
	})
}
