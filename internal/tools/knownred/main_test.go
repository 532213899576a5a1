package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Lines of test2json output of one package "p".
const (
	passA     = `{"Action":"pass","Package":"p","Test":"TestA"}`
	failA     = `{"Action":"output","Package":"p","Test":"TestA","Output":"reason of A\n"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestA"}`
	failSub   = `{"Action":"fail","Package":"p","Test":"TestA/one"}`
	passB     = `{"Action":"pass","Package":"p","Test":"TestB"}`
	failB     = `{"Action":"fail","Package":"p","Test":"TestB"}`
	failPkg   = `{"Action":"fail","Package":"p"}`
	passPkg   = `{"Action":"pass","Package":"p"}`
	failBuild = `{"Action":"build-output","ImportPath":"p","Output":"x.go:1: broken\n"}` + "\n" + `{"Action":"fail","Package":"p","FailedBuild":"p"}`
)

// Guards against a run that passes despite an unlisted failure or without any
// test, or that fails because of a listed failure.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name, known string
		events      []string
		want        bool
		wantOutput  string
	}{
		{"all pass", "", []string{passA, passB, passPkg}, true, "2 passed, 0 failed"},
		{"listed failure is ignored", "test: p.TestA", []string{failA, passB, failPkg}, true, "known failure, ignored: p.TestA"},
		{"listed failure prints its output", "test: p.TestA", []string{failA, passB, failPkg}, true, "reason of A"},
		{"unlisted failure", "", []string{failA, passB, failPkg}, false, "FAIL p.TestA"},
		{"unlisted and listed failure", "test: p.TestA", []string{failA, failB, failPkg}, false, "FAIL p.TestB"},
		{"listed subtest excuses its parent", "test: p.TestA/one", []string{failSub, failA, passB, failPkg}, true, "ignored: p.TestA/one"},
		{"listed pass is reported", "test: p.TestA", []string{passA, passB, passPkg}, true, "passes, remove it: p.TestA"},
		{"failing build", "test: p.TestA", []string{passB, failBuild}, false, "FAIL p (package)"},
		{"package fails without a test", "", []string{passA, failPkg}, false, "FAIL p (package)"},
		{"no tests", "", []string{passPkg}, false, "0 passed"},
		{"only listed failures", "test: p.TestA", []string{failA, failPkg}, false, "0 passed"},
		{"other package of the same name", "test: q.TestA", []string{failA, passB, failPkg}, false, "FAIL p.TestA"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "known")
			is.NoErr(os.WriteFile(path, []byte("seen in CI:\n  "+c.known+"\n"), 0o600))
			var out bytes.Buffer
			v := newVerdict(&out)
			is.NoErr(v.loadListed(path))
			for line := range strings.SplitSeq(strings.Join(c.events, "\n"), "\n") {
				var e event
				is.NoErr(json.Unmarshal([]byte(line), &e))
				v.add(e)
			}
			is.Equal(v.report(), c.want)
			is.True(strings.Contains(out.String(), c.wantOutput))
		})
	}
}
