// Command knownred reads the output of "go test -json" and decides whether a
// test run passes. Failures of the tests listed in a file are printed but do not
// fail the run; any other failure does. A listed test that passes is reported so
// that its entry can be removed. In the file, a line that starts with "test:"
// names one test as PACKAGE.TestName.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// event is one line of test2json output, the format of "go test -json".
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// entryPrefix marks a line of the file that names a test.
const entryPrefix = "test:"

// verdict collects the results of a test run.
type verdict struct {
	out              io.Writer
	listed           map[string]bool
	output           map[string][]string // of tests that have not passed
	passed           int
	skipped          int
	failed           []string
	expectedFailures []string
	unexpectedPasses []string
	failedPkg        map[string]bool // whether the build of the package failed
}

func newVerdict(out io.Writer) *verdict {
	return &verdict{out: out, listed: map[string]bool{}, output: map[string][]string{}, failedPkg: map[string]bool{}}
}

func main() {
	v := newVerdict(os.Stdout)
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := v.loadListed(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	scanner := bufio.NewScanner(os.Stdin)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Println(scanner.Text())
			continue
		}
		v.add(e)
	}
	if !v.report() {
		os.Exit(1)
	}
}

// loadListed reads the names of the listed tests from a file.
func (v *verdict) loadListed(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), entryPrefix); ok {
			v.listed[strings.TrimSpace(name)] = true
		}
	}
	return nil
}

func (v *verdict) add(e event) {
	name := e.Package + "." + e.Test
	switch e.Action {
	case "output", "build-output":
		v.output[e.ImportPath+name] = append(v.output[e.ImportPath+name], e.Output)
		if e.Action == "build-output" {
			fmt.Fprint(v.out, e.Output)
		}
	case "pass":
		v.pass(e, name)
	case "skip":
		if e.Test != "" {
			v.skipped++
		}
	case "fail":
		v.fail(e, name)
	}
}

func (v *verdict) pass(e event, name string) {
	switch {
	case e.Test == "":
		fmt.Fprintf(v.out, "ok   %s\n", e.Package)
	case v.listed[name]:
		v.unexpectedPasses = append(v.unexpectedPasses, name)
	default:
		v.passed++
	}
	delete(v.output, name)
}

// fail records a failure. A failing subtest also fails its parent test and its
// package, so a parent is not counted when a listed subtest of it failed, and a
// package is counted only when none of its tests failed.
func (v *verdict) fail(e event, name string) {
	switch {
	case e.Test == "":
		v.failedPkg[e.Package] = e.FailedBuild != ""
	case v.listed[name]:
		v.expectedFailures = append(v.expectedFailures, name)
	case v.hasExpectedSubtest(name):
	default:
		v.failed = append(v.failed, name)
	}
	for _, line := range v.output[name] {
		fmt.Fprint(v.out, line)
	}
}

func (v *verdict) hasExpectedSubtest(name string) bool {
	for _, failure := range v.expectedFailures {
		if strings.HasPrefix(failure, name+"/") {
			return true
		}
	}
	return false
}

func (v *verdict) hasFailedTest(pkg string) bool {
	for _, name := range append(append([]string{}, v.failed...), v.expectedFailures...) {
		if strings.HasPrefix(name, pkg+".") {
			return true
		}
	}
	return false
}

// report prints the results and returns whether the run passes. A run in which no
// unlisted test passed fails.
func (v *verdict) report() bool {
	for pkg, buildFailed := range v.failedPkg {
		if buildFailed || !v.hasFailedTest(pkg) {
			v.failed = append(v.failed, pkg+" (package)")
		}
	}
	sort.Strings(v.failed)
	for _, name := range v.expectedFailures {
		fmt.Fprintf(v.out, "known failure, ignored: %s\n", name)
	}
	for _, name := range v.unexpectedPasses {
		fmt.Fprintf(v.out, "listed in KNOWN-RED.txt but passes, remove it: %s\n", name)
	}
	for _, name := range v.failed {
		fmt.Fprintf(v.out, "FAIL %s\n", name)
	}
	fmt.Fprintf(v.out, "%d passed, %d failed, %d skipped\n", v.passed, len(v.failed), v.skipped)
	return len(v.failed) == 0 && v.passed > 0
}
