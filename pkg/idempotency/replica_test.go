package idempotency

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/table"
)

var start = time.Unix(1000, 0)

func keyNumber(n uint64) (k recordKey) {
	binary.BigEndian.PutUint64(k[:], n*0x9e3779b97f4a7c15)
	binary.LittleEndian.PutUint64(k[8:], n*0xbf58476d1ce4e5b9)
	return k
}

func openReplica(limit int64) *Replica {
	r := NewReplica("north", limit, start)
	r.Open(1)
	return r
}

func claimOf(n uint64, claimant peer.InstanceID) claimMessage {
	return claimMessage{epoch: 1, key: keyNumber(n), id: claimID{claimant, n}, window: time.Minute}
}

// Guards against a late claim message that blocks its key after the claim was
// released, and against a released key that others cannot claim.
func TestLateClaimOfAReleasedIDIsRefused(t *testing.T) {
	is := is.New(t)
	r := openReplica(0)
	m := claimOf(1, "i1/1")
	r.end(start, endOf(m, stateReleased))
	is.Equal(r.claim(start, m).verdict, peerpb.ClaimReply_VERDICT_RELEASED)
	other := m
	other.id = claimID{"i2/1", 9}
	reply := r.claim(start, other)
	is.Equal(reply.verdict, peerpb.ClaimReply_VERDICT_GRANTED)
	is.Equal(reply.released, []claimID{m.id})
}

// Guards against a full member that drops records within their window, and
// against one that stays full after the window.
func TestFullReplicaRefusesNewClaimsAndKeepsRecords(t *testing.T) {
	is := is.New(t)
	r := openReplica(10 * claimCost)
	for n := range uint64(10) {
		is.Equal(r.claim(start, claimOf(n, "i1/1")).verdict, peerpb.ClaimReply_VERDICT_GRANTED)
	}
	is.Equal(r.claim(start, claimOf(10, "i1/1")).verdict, peerpb.ClaimReply_VERDICT_FULL)
	done := endOf(claimOf(0, "i1/1"), stateDone)
	done.kept, done.answer = true, make([]byte, 100)
	r.end(start, done)
	again := claimOf(0, "i2/1")
	again.id.sequence = 99
	reply := r.claim(start, again)
	is.Equal(reply.verdict, peerpb.ClaimReply_VERDICT_DONE)
	is.True(!reply.kept) // no room for the answer
	later := start.Add(2 * time.Minute)
	r.Sweep(later)
	used, _ := r.Usage()
	is.Equal(used, int64(0))
	is.Equal(r.claim(later, claimOf(10, "i1/1")).verdict, peerpb.ClaimReply_VERDICT_GRANTED)
}

// Guards against records that are skipped, or exported repeatedly without end, between the chunks of a transfer.
func TestExportInPartsIsComplete(t *testing.T) {
	is := is.New(t)
	from, to := openReplica(0), NewReplica("north", 0, start)
	const count = 5000
	for n := range uint64(count) {
		m := claimOf(n, "i1/1")
		from.claim(start, m)
		if n%100 == 0 {
			done := endOf(m, stateDone)
			done.kept, done.answer = true, make([]byte, MaxAnswer)
			from.end(start, done)
		}
	}
	parts := 0
	for cursor := uint64(0); ; parts++ {
		chunk, next := from.Export(start, cursor)
		is.True(len(chunk) < chunkBytes+2*MaxAnswer)
		is.NoErr(to.Import(start, chunk))
		if cursor = next; cursor == 0 {
			break
		}
	}
	is.True(parts > 5)
	usedFrom, _ := from.Usage()
	usedTo, _ := to.Usage()
	is.Equal(usedFrom, usedTo)
}

// Guards against records that are stored outside the permitted regions.
func TestRecordsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	all := []string{"central", "north", "south"}
	home := table.Route{Name: "r", HomeRegions: []string{"central", "south"}}
	seen := make(map[string]int)
	for i := range 300 {
		region := RecordRegion(home, fmt.Sprint(i), all)
		is.True(home.Permits(region))
		seen[region]++
	}
	is.True(seen["central"] > 100 && seen["south"] > 100)
	home.RecordRegion = "south"
	is.Equal(RecordRegion(home, "7", all), "south")
	data, err := proto.Marshal(claimOf(1, "i1/1").proto("south"))
	is.NoErr(err)
	_, err = openReplica(0).handleClaim(start, data)
	is.True(err != nil)
	outside := Key{Route: "r", Identity: "7", Region: "south", HomeRegions: home.HomeRegions, Window: time.Minute}
	is.NoErr(outside.validate("south"))
	is.True(outside.validate("north") != nil)
	outside.Region = "north"
	is.True(outside.validate("south") != nil)
}

// FuzzDecode guards against peer messages that crash an instance or are accepted with
// values out of bounds.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r := openReplica(1 << 20)
		if m, _, err := decodeClaim(data); err == nil && (m.window <= 0 || m.window > MaxWindow || m.id.claimant == "") {
			t.Fatalf("accepted %+v", m)
		}
		if m, _, err := decodeComplete(data); err == nil && (len(m.answer) > MaxAnswer || m.window > MaxWindow) {
			t.Fatalf("accepted %+v", m)
		}
		if claims, err := decodeChunk(data); err == nil {
			for _, c := range claims {
				if c.claim.expires > heldFor(MaxWindow)+time.Second || len(c.claim.answer) > MaxAnswer {
					t.Fatalf("accepted %+v", c)
				}
			}
		}
		_, _ = r.handleClaim(start, data)
		_, _ = r.handleComplete(start, data)
		_, _ = r.handleRelease(start, data)
		_ = r.Import(start, data)
		chunk, _ := r.Export(start, 0)
		if err := NewReplica("north", 0, start).Import(start, chunk); err != nil {
			t.Fatalf("own export is refused: %v", err)
		}
	})
}

// Guards against fuzz seeds that no longer match the encoded messages after a change of their format.
func TestSeedsDecode(t *testing.T) {
	is := is.New(t)
	m := claimOf(1, "i1/1")
	done := endOf(m, stateDone)
	done.kept, done.answer = true, []byte("answer")
	_, complete := done.proto("north")
	_, release := endOf(m, stateReleased).proto("north")
	r := openReplica(0)
	r.end(start, done)
	chunk, _ := r.Export(start, 0)
	for name, message := range map[string]proto.Message{"claim": m.proto("north"), "complete": complete, "release": release, "chunk": nil} {
		data := chunk
		if message != nil {
			var err error
			data, err = proto.MarshalOptions{Deterministic: true}.Marshal(message)
			is.NoErr(err)
		}
		path := filepath.Join("testdata", "fuzz", "FuzzDecode", name)
		want := fmt.Sprintf("go test fuzz v1\n[]byte(%q)\n", data)
		if os.Getenv("UPDATE_SEEDS") != "" {
			is.NoErr(os.WriteFile(path, []byte(want), 0o644))
		}
		have, err := os.ReadFile(path)
		is.NoErr(err)
		is.Equal(string(have), want)
	}
}

// BenchmarkReplicaMemory measures the heap of one held claim without an answer.
func BenchmarkReplicaMemory(b *testing.B) {
	for _, count := range []uint64{100_000, 300_000, 500_000, 1_000_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapPerRecord(count), "bytes/record")
			}
		})
	}
}

func heapPerRecord(count uint64) float64 {
	var before, after runtime.MemStats
	r := openReplica(1 << 40)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range count {
		claimant := peer.InstanceID(fmt.Sprintf("instance-%d/0123456789abcdef", n%18))
		r.claim(start.Add(time.Duration(n)*time.Microsecond), claimOf(n, claimant))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(r)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

// BenchmarkClaimAndFinish measures a claim and its end on one replica in a steady state,
// in which records expire as fast as new ones are added.
func BenchmarkClaimAndFinish(b *testing.B) {
	const cycle = 1 << 18
	r := openReplica(1 << 40)
	var goroutines atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		first, now := goroutines.Add(1)<<40, start
		for n := uint64(0); pb.Next(); n++ {
			if n%cycle == 0 {
				now = now.Add(3 * time.Minute)
				r.Sweep(now)
			}
			m := claimOf(first+n%cycle, "i1/1")
			r.claim(now, m)
			r.end(now, endOf(m, stateDone))
		}
	})
}

// BenchmarkClaimMessage measures a claim including decoding and encoding.
func BenchmarkClaimMessage(b *testing.B) {
	r := openReplica(1 << 40)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			data, _ := proto.Marshal(claimOf(rand.Uint64(), "i1/1").proto("north"))
			reply, _ := r.handleClaim(start, data)
			_, _ = proto.Marshal(reply)
		}
	})
}
