package table

import (
	"encoding/json"
	"reflect"
	"testing"
)

// fuzzRow guards against a row that crashes the decoder, that is rejected without a
// path and remedy, or that is accepted although it does not survive a round trip.
func fuzzRow[T any](f *testing.F, decode func([]byte) (T, error)) {
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := decode(data)
		if err != nil {
			for _, p := range ProblemsOf(err) {
				if p.Path == "" || p.Path[0] != '$' || p.Remedy == "" {
					t.Fatalf("%q: problem without path or remedy: %+v", data, p)
				}
			}
			return
		}
		out, err := json.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decode(out)
		if err != nil {
			t.Fatalf("%q was accepted but its own output %q is not: %v", data, out, err)
		}
		second, _ := json.Marshal(again)
		if !reflect.DeepEqual(out, second) {
			t.Fatalf("%q became %q, then %q", data, out, second)
		}
	})
}

func FuzzDecodeRoute(f *testing.F) { fuzzRow(f, DecodeRoute) }
func FuzzDecodePool(f *testing.F)  { fuzzRow(f, DecodePool) }
