package table

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against reporting the second error of a document only after the first one is
// corrected, and against errors without a path.
func TestDecodeReportsEveryFaultWithItsPath(t *testing.T) {
	for _, c := range []struct {
		name, doc string
		want      []string
	}{
		{"unknown at two depths", `{"name":"a","pool":"b","x":1,"match":{"path":"/"}}`, []string{"$.x", "$.match.path"}},
		{"wrong case", `{"Name":"a","name":"a","pool":"b"}`, []string{"$.Name"}},
		{"repeated", `{"name":"a","pool":"b","pool":"c"}`, []string{"$.pool"}},
		{"repeated header", `{"name":"a","pool":"b","match":{"headers":{"X-A":"1","X-A":"2"}}}`, []string{`$.match.headers["X-A"]`}},
		{"wrong types", `{"name":7,"pool":"b","match":{"hosts":["a",1]},"retry":[]}`, []string{"$.name", "$.match.hosts[1]", "$.retry"}},
		{"units", `{"name":"a","pool":"b","deadline":30,"max_body":"5 apples"}`, []string{"$.deadline", "$.max_body"}},
		{"null", `{"name":"a","pool":null}`, []string{"$.pool"}},
		{"decoding and validation", `{"name":"A b","pool":"b","x":1,"class":"high"}`, []string{"$.x", "$.name", "$.class"}},
		{"not an object", `[]`, []string{"$"}},
		{"no JSON", `{"name":`, []string{"$"}},
		{"two documents", `{"name":"a","pool":"b"} {}`, []string{"$"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeRoute([]byte(c.doc))
			var got []string
			for _, p := range ProblemsOf(err) {
				got = append(got, p.Path)
				is.True(p.Message != "" && p.Remedy != "") // each problem has a remedy
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a valid row that the reflection-based decoder rejects or changes.
func TestDecodeKeepsEveryField(t *testing.T) {
	is := is.New(t)
	doc := `{"name":"a","upstreams":[{"id":"u","address":"10.0.0.1:80","region":"r","failure_domain":"f"}],"slots":4,` +
		`"connections":250,"cold_start":{"allowance":2},"measuring":{"budget_percent":0.5,"probe_cost":"6ms","probe_path":"/load"},"upstreams_out":["u"]}`
	p, err := DecodePool([]byte(doc))
	is.NoErr(err)
	out, err := json.Marshal(p)
	is.NoErr(err)
	is.Equal(string(out), doc)
}
