package configsync

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/store"
)

// poolRow returns the row of a pool whose slots field counts the edits. An invalid row has an
// unknown field.
func poolRow(name string, count int, valid bool) []byte {
	extra := ""
	if !valid {
		extra = `,"no_such_field":1`
	}
	return fmt.Appendf(nil, `{"name":%q,"slots":%d,"connections":1%s}`, name, count, extra)
}

func countOf(value []byte) int {
	var p struct{ Slots int }
	_ = json.Unmarshal(value, &p)
	return p.Slots
}

type storeState struct {
	rows  map[string]store.Entry
	index uint64
}

// model is a model of a store with a history, and of instances that read it and pull from
// each other.
type model struct {
	t        *rapid.T
	now      time.Time
	index    uint64
	rows     map[string]store.Entry
	history  []storeState
	edits    int
	names    []string
	cur      map[string]*snapshot
	seq      map[string]*sequencer
	contents map[uint64]uint64         // digest by revision
	counts   map[string]map[string]int // by instance name and row, kept over restarts
	down     bool
	rewound  bool
	starting bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1e9, 0), index: 1000, rows: map[string]store.Entry{}, cur: map[string]*snapshot{},
		seq: map[string]*sequencer{}, contents: map[uint64]uint64{}, counts: map[string]map[string]int{},
	}
	for i := range rapid.IntRange(2, 5).Draw(t, "instances") {
		name := fmt.Sprint("i", i)
		m.names = append(m.names, name)
		m.counts[name] = map[string]int{}
		m.restart(name)
	}
	return m
}

func (m *model) restart(name string) {
	m.cur[name], m.seq[name] = emptySnapshot(), &sequencer{}
}

func (m *model) put(key string, value []byte) {
	m.history = append(m.history, storeState{maps.Clone(m.rows), m.index})
	m.index++
	if value == nil {
		delete(m.rows, key)
		return
	}
	m.rows[key] = store.Entry{Key: key, Value: value, Revision: m.index}
}

// highest is the highest revision of a running instance.
func (m *model) highest() uint64 {
	var h uint64
	for _, s := range m.cur {
		h = max(h, s.revision)
	}
	return h
}

// adopt puts a snapshot in force as Syncer.applyProposal does, and checks that no row reverts.
func (m *model) adopt(name string, s *snapshot) {
	if s.revision <= m.cur[name].revision {
		return
	}
	if d, ok := m.contents[s.revision]; ok && d != s.digest {
		m.t.Fatalf("revision %d has two contents", s.revision)
	}
	m.contents[s.revision] = s.digest
	m.cur[name] = s
	if !m.starting {
		m.checkCounts(name)
	}
}

func (m *model) checkCounts(name string) {
	s := m.cur[name]
	for key, v := range s.values() {
		if n := countOf(v); n < m.counts[name][key] {
			m.t.Fatalf("%s reverted %s from %d to %d at revision %d", name, key, m.counts[name][key], n, s.revision)
		}
		m.counts[name][key] = countOf(v)
	}
}

// replaceable reports whether the store or another instance has every row that an
// instance has in force. If not, the package does not guarantee to survive its loss.
func (m *model) replaceable(name string) bool {
	for _, other := range m.names {
		if other != name && m.cur[other].revision >= m.cur[name].revision {
			return true
		}
	}
	r := parseReading(slices.Collect(maps.Values(m.rows)))
	return !m.down && r.head.Revision >= m.cur[name].revision && r.head.Stored == r.stored
}

// watch makes an instance read the store and act on the reading. With stale > 0 it reads
// that many states back; with loseAnswer the answer to its write is lost.
func (m *model) watch(name string, stale int, loseAnswer bool) {
	if m.down {
		return
	}
	rows := m.rows
	if stale > 0 && stale <= len(m.history) {
		rows = m.history[len(m.history)-stale].rows
	}
	d := m.seq[name].observe(m.now, m.cur[name], m.highest(), parseReading(slices.Collect(maps.Values(rows))))
	switch {
	case d.askPeers:
		m.pullBest(name)
	case d.adopt != nil:
		m.adopt(name, d.adopt)
	case d.head != nil && m.rows[HeadKey].Revision == d.headAt:
		value, _ := json.Marshal(d.head)
		m.put(HeadKey, value)
		if !loseAnswer {
			m.adopt(name, d.afterWrite)
		}
	}
}

func (m *model) pull(name, from string) {
	a, b := m.cur[name], m.cur[from]
	for _, full := range []bool{false, true} {
		delta, err := b.delta(a.revision, full)
		if err != nil {
			m.t.Fatal(err)
		}
		s, err := a.apply(delta)
		if err == nil {
			m.adopt(name, s)
		}
		if err != errMismatch {
			return
		}
	}
}

func (m *model) pullBest(name string) {
	for _, other := range m.names {
		if m.cur[other].revision == m.highest() {
			m.pull(name, other)
		}
	}
}

// restore sets the store to an old state. The first restore also assigns new, lower
// indexes, as when a store is rebuilt from an export.
func (m *model) restore(back int) {
	if m.down || back > len(m.history) {
		return
	}
	old := m.history[len(m.history)-back]
	m.history = m.history[:len(m.history)-back]
	m.rows, m.index = maps.Clone(old.rows), old.index
	if !m.rewound {
		m.history, m.index = nil, 0
		for _, key := range slices.Sorted(maps.Keys(m.rows)) {
			m.index++
			m.rows[key] = store.Entry{Key: key, Value: m.rows[key].Value, Revision: m.index}
		}
	}
	m.rewound = true
}

func (m *model) edit(name string, valid bool) {
	m.edits++
	m.put(PoolPrefix+name, poolRow(name, m.edits, valid))
}

func (m *model) settle() {
	m.down = false
	for range 40 {
		m.now = m.now.Add(time.Second)
		for _, name := range m.names {
			m.watch(name, 0, false)
		}
	}
	for _, name := range m.names {
		m.pullBest(name)
	}
}

// Guards against reverted rows, revisions with two contents and instances that do not
// converge. The causes are stale reads, lost answers, restarts, invalid rows and a store
// that is restored to an older state.
func TestNothingReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		anyInstance := func(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "instance") }
		anyRow := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "row") }
		watch := func(t *rapid.T) {
			m.watch(anyInstance(t), rapid.IntRange(-3, 4).Draw(t, "stale"), rapid.Bool().Draw(t, "lose answer"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit":   func(t *rapid.T) { m.edit(anyRow(t), rapid.IntRange(0, 3).Draw(t, "valid") > 0) },
			"delete": func(t *rapid.T) { m.put(PoolPrefix+anyRow(t), nil) },
			"watch":  watch, "watch again": watch, "and again": watch,
			"pull":    func(t *rapid.T) { m.pull(anyInstance(t), anyInstance(t)) },
			"wait":    func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second) },
			"outage":  func(*rapid.T) { m.down = !m.down },
			"restore": func(t *rapid.T) { m.restore(rapid.IntRange(1, 6).Draw(t, "back")) },
			"restart": func(t *rapid.T) {
				if name := anyInstance(t); m.replaceable(name) {
					m.restart(name)
					m.starting = true // serves no tables before it has asked the members and the store
					m.pullBest(name)
					m.watch(name, 0, false)
					m.starting = false
					m.checkCounts(name)
				}
			},
		})
		m.settle()
		for _, name := range m.names {
			a, b := m.cur[name], m.cur[m.names[0]]
			if a.revision != b.revision || a.digest != b.digest {
				t.Fatalf("%s is at %d, %s at %d", name, a.revision, m.names[0], b.revision)
			}
		}
		m.checkStore(t)
	})
}

// checkStore compares the rows in force with the store, except held rows.
func (m *model) checkStore(t *rapid.T) {
	s := m.cur[m.names[0]]
	values, r := s.values(), parseReading(slices.Collect(maps.Values(m.rows)))
	for key := range maps.Keys(r.rows) {
		_, held := s.held[key]
		if !held && string(values[key]) != string(r.rows[key]) {
			t.Fatalf("%s is in force as %s, the store has %s", key, values[key], r.rows[key])
		}
		if held && !m.rewound && validate(key, r.rows[key]) == nil {
			t.Fatalf("%s is valid but held", key)
		}
	}
	for key := range values {
		if _, ok := r.rows[key]; !ok && s.held[key].Kind != HeldRestored {
			t.Fatalf("%s was deleted but is in force", key)
		}
	}
}

func entries(pairs ...any) []store.Entry {
	var out []store.Entry
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, store.Entry{Key: pairs[i].(string), Value: pairs[i+1].([]byte), Revision: uint64(i + 1)})
	}
	return out
}

// sequenceAlone puts entries in force on an instance that is the only watcher. It returns its
// snapshot and the entries with the written head.
func sequenceAlone(cur *snapshot, from []store.Entry) (*snapshot, []store.Entry) {
	d := new(sequencer).observe(time.Unix(0, 0), cur, 0, parseReading(from))
	value, _ := json.Marshal(d.head)
	from = slices.DeleteFunc(slices.Clone(from), func(e store.Entry) bool { return e.Key == HeadKey })
	return d.afterWrite, append(from, store.Entry{Key: HeadKey, Value: value, Revision: 99})
}

// Guards against an invalid row that displaces its last valid version, is not reported,
// or stays held after it was corrected.
func TestAnInvalidRowKeepsItsLastValidVersion(t *testing.T) {
	is := is.New(t)
	s, st := sequenceAlone(emptySnapshot(), entries(PoolPrefix+"a", poolRow("a", 1, true)))
	is.Equal(s.tables.Pools["a"].Slots, 1)
	st[0].Value = poolRow("a", 2, false)
	s, st = sequenceAlone(s, st)
	is.Equal(s.revision, uint64(2))
	is.Equal(s.tables.Pools["a"].Slots, 1)
	is.Equal(s.held["pools/a"].Kind, HeldInvalid)
	is.Equal(len(s.problems), 1)
	is.Equal(new(sequencer).observe(time.Unix(0, 0), s, 0, parseReading(st)), decision{})
	st[0].Value = poolRow("other", 3, true) // valid, but not the row of this key
	s, st = sequenceAlone(s, st)
	is.Equal(s.tables.Pools["a"].Slots, 1)
	st[0].Value = poolRow("a", 4, true)
	s, _ = sequenceAlone(s, st)
	is.Equal(s.tables.Pools["a"].Slots, 4)
	is.Equal(len(s.held), 0)
}

// Guards against a store restored to an older state that displaces newer rows, or after
// which later edits do not take effect.
func TestStoreRestoredToAnOlderState(t *testing.T) {
	is := is.New(t)
	s1, old := sequenceAlone(emptySnapshot(), entries(PoolPrefix+"a", poolRow("a", 1, true), PoolPrefix+"b", poolRow("b", 1, true)))
	newer := slices.Clone(old)
	newer[0].Value = poolRow("a", 2, true)
	newer = append(newer, entries(PoolPrefix+"c", poolRow("c", 2, true))...)
	s2, _ := sequenceAlone(s1, newer)
	q, now := &sequencer{}, time.Unix(0, 0)
	is.True(q.observe(now, s2, 0, parseReading(old[1:])).askPeers) // treated as a stale read at first
	var d decision
	for range 6 { // rows are still being restored; after the first reading they no longer change
		now = now.Add(time.Second)
		d = q.observe(now, s2, 0, parseReading(old))
		is.True(d.askPeers)
	}
	now = now.Add(time.Hour)
	is.True(q.observe(now, s2, 0, parseReading(old)).askPeers) // a gap without readings restarts the grace period
	for range 6 {
		now = now.Add(time.Second)
		d = q.observe(now, s2, 0, parseReading(old))
	}
	is.True(d.afterWrite.revision > s2.revision)
	is.Equal(d.afterWrite.tables.Pools["a"].Slots, 2) // held
	is.Equal(d.afterWrite.tables.Pools["c"].Slots, 2) // absent in the store, held
	is.Equal(d.head.Held["pools/c"].Hash, uint64(0))
	is.Equal(countOf(d.head.Held["pools/c"].Value), 2) // kept in the head in case all instances stop
	is.Equal(len(d.head.Held), 2)

	value, _ := json.Marshal(d.head)
	st := append(slices.Clone(old[:2]), store.Entry{Key: HeadKey, Value: value, Revision: 99})
	st[1].Value = poolRow("b", 3, true)
	s3, st := sequenceAlone(d.afterWrite, st)
	is.Equal(s3.tables.Pools["b"].Slots, 3) // an edit after the restore takes effect
	is.Equal(s3.tables.Pools["a"].Slots, 2) // still held
	is.Equal(len(s3.held), 2)
	st[0].Value = poolRow("a", 4, true)
	s4, _ := sequenceAlone(s3, st)
	is.Equal(s4.tables.Pools["a"].Slots, 4)
	is.Equal(len(s4.held), 1)
}

// Guards against a watcher with a lower revision that puts an outdated version of a row in
// force. The last valid version, or a held value that was omitted from the head, may be
// known only to other instances.
func TestAWatcherThatIsBehindAsksItsPeers(t *testing.T) {
	is := is.New(t)
	s1, st1 := sequenceAlone(emptySnapshot(), entries(PoolPrefix+"a", poolRow("a", 1, true)))
	st2 := slices.Clone(st1)
	st2[0].Value = poolRow("a", 2, true)
	s2, st2 := sequenceAlone(s1, st2)
	st2[0].Value = poolRow("a", 3, false) // has no revision yet
	q, now := &sequencer{}, time.Unix(0, 0)
	is.True(q.observe(now, s1, 0, parseReading(st2)).askPeers)
	is.Equal(countOf(q.observe(now, s2, 0, parseReading(st2)).afterWrite.rows["pools/a"].value), 2)

	_, st3 := sequenceAlone(s2, st2)
	r := parseReading(st3)
	d := (&sequencer{}).observe(now, s1, 0, r) // the head contains the value
	is.Equal(countOf(d.adopt.rows["pools/a"].value), 2)
	h := r.head.Held["pools/a"]
	h.Value, h.Omitted = nil, true
	r.head.Held["pools/a"] = h
	is.True((&sequencer{}).observe(now, s1, 0, r).askPeers)
}

// Guards against held values that make the head larger than the store accepts.
func TestTheHeadLeavesOutWhatDoesNotFit(t *testing.T) {
	is := is.New(t)
	values := map[string][]byte{"pools/a": make([]byte, maxHeldValues-10), "pools/b": make([]byte, 100), "pools/c": make([]byte, 10)}
	held := withValues(map[string]Held{"pools/a": {}, "pools/b": {}, "pools/c": {}}, values)
	is.True(!held["pools/a"].Omitted && held["pools/b"].Omitted && !held["pools/c"].Omitted)
	is.Equal(len(held["pools/b"].Value), 0)
}

// Guards against two releases with different validation that override each other.
func TestWrittenHeadIsNotRevalidated(t *testing.T) {
	is := is.New(t)
	row := poolRow("a", 1, false) // valid for the newer release that wrote the head
	head := Head{Revision: 5, Stored: rowHash("pools/a", row), InForce: rowHash("pools/a", row)}
	value, _ := json.Marshal(head)
	d := new(sequencer).observe(time.Unix(0, 0), emptySnapshot(), 0, parseReading(entries(PoolPrefix+"a", row, HeadKey, value)))
	is.Equal(d.adopt.revision, uint64(5))
	is.Equal(len(d.adopt.held), 0)
	is.Equal(len(d.adopt.problems), 1) // reported by this instance
}
