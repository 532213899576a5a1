package settings

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

const minimal = `{"instance":"a","region":"north","regions":["north"],"failure_domain":"n1","callers":{"listen":"127.0.0.1:8080","plaintext":true},` +
	`"peers":{"listen":"127.0.0.1:8081","plaintext":true},"store":{"address":"http://127.0.0.1:8500"}}`

// Guards against a default that differs from its documentation.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(minimal))
	is.NoErr(err)
	is.Equal(s.Admin, Admin{Listen: "127.0.0.1:9901", Advertise: "127.0.0.1:9901"})
	is.Equal(s.Callers.Advertise, "127.0.0.1:8080")
	is.Equal(s.Store, Store{Address: "http://127.0.0.1:8500", Timeout: table.Duration(2 * time.Second)})
	is.Equal(s.Limits, Limits{64 << 10, 4 << 30, table.Duration(5 * time.Second), table.Duration(2 * time.Minute), 256 << 20, 32, 0, 0})
	is.Equal(s.Shutdown, Shutdown{Notice: table.Duration(2 * time.Second)})
}

// Guards against hedging limits in deployments that set none, and against a reserve of zero where none is given.
func TestHedgingIsOptional(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(minimal))
	is.NoErr(err)
	is.True(s.Hedging == nil)
	s, err = Parse([]byte(minimal[:len(minimal)-1] + `,"hedging":{"percent":0}}`))
	is.NoErr(err)
	is.Equal(*s.Hedging, Hedging{Reserve: 50})
}

// Guards against reporting only one error of the settings per restart.
func TestParseReportsEveryFault(t *testing.T) {
	for _, c := range []struct {
		name, doc string
		want      []string
	}{
		{"empty", `{}`, []string{"$.instance", "$.region", "$.failure_domain", "$.regions", "$.callers.listen", "$.callers.tls",
			"$.peers.listen", "$.peers.tls", "$.store.address"}},
		{"unknown and wrong", minimal[:len(minimal)-1] + `,"limits":{"max_instance":3,"max_instances":-1,"idle_timeout":"-1s","memory":"1MiB","descriptors":9},"shutdown":{"notice":2}}`,
			[]string{"$.limits.max_instance", "$.shutdown.notice", "$.limits.max_instances", "$.limits.memory", "$.limits.descriptors", "$.limits.idle_timeout"}},
		{"hedging", minimal[:len(minimal)-1] + `,"hedging":{"percent":101,"pool":{},"pools":{"b":-1,"a":200},"routes":{"r":5},"reserve":-1}}`,
			[]string{"$.hedging.pool", "$.hedging.percent", "$.hedging.pools.a", "$.hedging.pools.b", "$.hedging.reserve"}},
		{"advertise", minimal[:len(minimal)-1] + `,"admin":{"advertise":"x"}}`, []string{"$.admin.advertise"}},
		{"peers without authority", `{"instance":"a","region":"r","regions":["r"],"failure_domain":"f","callers":{"listen":"1.2.3.4:1","tls":{"certificate":"c","key":"k"},"plaintext":true},` +
			`"peers":{"listen":"1.2.3.4:2","tls":{"certificate":"c","key":"k"}},"store":{"address":"1.2.3.4:8500"}}`,
			[]string{"$.callers.plaintext", "$.peers.tls.ca", "$.store.address"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.doc))
			var got []string
			for _, p := range table.ProblemsOf(err) {
				got = append(got, p.Path)
			}
			is.Equal(got, c.want)
		})
	}
}

// FuzzParse guards against settings that crash the parser, or that are accepted
// although they are rejected after encoding.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		out, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(out); err != nil {
			t.Fatalf("%q was accepted but its own output %q is not: %v", data, out, err)
		}
	})
}
