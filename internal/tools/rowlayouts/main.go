// Command rowlayouts compares layouts of the table rows in the store. For each
// layout it prints the calls and body bytes of an edit, and the body bytes that a
// watcher reads after an edit and that an instance reads at its start. It runs
// against the stand-in store on loopback.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"text/tabwriter"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "rowlayouts:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "pools\tlayout\tedit calls\tedit bytes\twatch bytes\tstart bytes")
	for _, pools := range []int{20, 200, 1000} {
		for _, l := range []struct {
			name   string
			layout layout
		}{
			{"whole rows", wholeRows{1}},
			{"whole rows, 32 prefixes", wholeRows{32}},
			{"base and deltas, 1 group", baseAndDeltas{1, 16 << 10}},
			{"base and deltas, 32 groups", baseAndDeltas{32, 16 << 10}},
		} {
			if err := measure(ctx, out, pools, l.name, l.layout); err != nil {
				return err
			}
		}
	}
	return out.Flush()
}

// Numbers of repetitions over which the results are averaged.
const (
	edits       = 64 // edits of one row
	changeReads = 8  // reads of a watcher after an edit
	fullReads   = 2  // reads of an instance at its start
)

func measure(ctx context.Context, out *tabwriter.Writer, pools int, name string, l layout) error {
	server := httptest.NewServer(standin.NewStore())
	defer server.Close()
	var m countingTransport
	kv, err := consulkv.New(consulkv.Config{Address: server.URL, Client: &http.Client{Transport: &m}})
	if err != nil {
		return err
	}
	rows := make([][]byte, pools)
	for i := range rows {
		rows[i] = poolRow(i)
	}
	if err := l.load(ctx, kv, rows); err != nil {
		return err
	}
	m.takeCounts()
	editCalls, editBytes, err := m.average(edits, func(i int) error { return editRow(ctx, kv, l, rows, i%pools, 5+i) })
	if err != nil {
		return err
	}
	_, watchBytes, err := m.average(changeReads, func(i int) error { return l.readChange(ctx, kv, i%pools) })
	if err != nil {
		return err
	}
	_, startBytes, err := m.average(fullReads, func(int) error { return l.readAll(ctx, kv) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d\t%s\t%d\t%d\t%d\t%d\n", pools, name, editCalls, editBytes, watchBytes, startBytes)
	return nil
}

func editRow(ctx context.Context, kv store.KV, l layout, rows [][]byte, i, slots int) error {
	return l.edit(ctx, kv, i, bytes.Replace(rows[i], []byte(`"slots":4`), fmt.Appendf(nil, `"slots":%d`, slots), 1))
}

// average runs f n times and returns the mean calls and bytes of one run.
func (m *countingTransport) average(n int, f func(i int) error) (calls, size int64, err error) {
	for i := range n {
		if err := f(i); err != nil {
			return 0, 0, err
		}
	}
	calls, size = m.takeCounts()
	return calls / int64(n), size / int64(n), nil
}
