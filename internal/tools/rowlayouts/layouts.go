package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// countingTransport is an HTTP transport that counts the requests and the body bytes in both directions.
type countingTransport struct {
	calls, bytes atomic.Int64
}

// countingBody adds the bytes read from a body to n.
type countingBody struct {
	io.ReadCloser
	n *atomic.Int64
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n.Add(int64(n))
	return n, err
}

func (m *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	m.calls.Add(1)
	m.bytes.Add(max(r.ContentLength, 0))
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		resp.Body = countingBody{resp.Body, &m.bytes}
	}
	return resp, err
}

// takeCounts returns the counts since the last call and resets them.
func (m *countingTransport) takeCounts() (calls, n int64) { return m.calls.Swap(0), m.bytes.Swap(0) }

// layout is a mapping of table rows to keys and values of the store.
type layout interface {
	load(ctx context.Context, kv store.KV, rows [][]byte) error
	edit(ctx context.Context, kv store.KV, row int, value []byte) error
	// readChange performs the read that delivers an edit of the row to a watcher.
	readChange(ctx context.Context, kv store.KV, row int) error
	// readAll performs the reads of an instance that starts.
	readAll(ctx context.Context, kv store.KV) error
}

// wholeRows stores one row per key. The keys are distributed over groups, each
// with its own prefix, and a watcher watches every prefix.
type wholeRows struct{ groups int }

func (w wholeRows) prefix(row int) string { return fmt.Sprintf("t/pools/%02d/", row%w.groups) }

func (w wholeRows) key(row int) string { return fmt.Sprintf("%sp%d", w.prefix(row), row) }

func (w wholeRows) load(ctx context.Context, kv store.KV, rows [][]byte) error {
	for i, row := range rows {
		if _, err := kv.CompareAndSwap(ctx, w.key(i), row, 0); err != nil {
			return err
		}
	}
	return nil
}

func (w wholeRows) edit(ctx context.Context, kv store.KV, row int, value []byte) error {
	e, err := kv.Get(ctx, w.key(row))
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, e.Key, value, e.Revision)
	return err
}

func (w wholeRows) readChange(ctx context.Context, kv store.KV, row int) error {
	_, _, err := kv.Watch(ctx, w.prefix(row), 1)
	return err
}

func (wholeRows) readAll(ctx context.Context, kv store.KV) error {
	_, _, err := kv.List(ctx, "t/pools/")
	return err
}

// baseAndDeltas stores a group of rows per key. The value of a group is a base
// followed by deltas, the newest versions of edited rows. When the deltas exceed
// reserve bytes, they are merged into the base. A watcher watches every group.
type baseAndDeltas struct{ groups, reserve int }

type groupValue struct {
	Base   map[int]json.RawMessage `json:"base"`
	Deltas []delta                 `json:"deltas"`
}

type delta struct {
	Row   int             `json:"row"`
	Value json.RawMessage `json:"value"`
}

func (b baseAndDeltas) key(row int) string { return fmt.Sprintf("t/groups/g%d", row%b.groups) }

func (b baseAndDeltas) load(ctx context.Context, kv store.KV, rows [][]byte) error {
	for g := range b.groups {
		v := groupValue{Base: map[int]json.RawMessage{}}
		for i := g; i < len(rows); i += b.groups {
			v.Base[i] = rows[i]
		}
		data, err := json.Marshal(v)
		if err != nil {
			return err
		}
		if _, err := kv.CompareAndSwap(ctx, b.key(g), data, 0); err != nil {
			return err
		}
	}
	return nil
}

func (b baseAndDeltas) edit(ctx context.Context, kv store.KV, row int, value []byte) error {
	e, err := kv.Get(ctx, b.key(row))
	if err != nil {
		return err
	}
	var v groupValue
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return err
	}
	v.Deltas = append(v.Deltas, delta{row, value})
	if used, err := json.Marshal(v.Deltas); err != nil || len(used) > b.reserve {
		for _, d := range v.Deltas {
			v.Base[d.Row] = d.Value
		}
		v.Deltas = nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, e.Key, data, e.Revision)
	return err
}

func (b baseAndDeltas) readChange(ctx context.Context, kv store.KV, row int) error {
	_, err := kv.Get(ctx, b.key(row))
	return err
}

func (b baseAndDeltas) readAll(ctx context.Context, kv store.KV) error {
	_, _, err := kv.List(ctx, "t/groups/")
	return err
}

func poolRow(i int) []byte {
	p := table.Pool{Name: fmt.Sprintf("p%d", i), Slots: 4, Connections: 250}
	for j := range 8 {
		p.Upstreams = append(p.Upstreams, table.Upstream{
			ID: fmt.Sprintf("p%d-%d", i, j), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/250, i%250, j), Region: "north", FailureDomain: "north-1",
		})
	}
	data, _ := json.Marshal(p)
	return data
}
