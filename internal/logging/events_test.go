package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// loggingPackages are the packages that write the log lines of an instance on the platform.
var loggingPackages = []string{"internal/entry", "internal/follow", "internal/gateway", "internal/logging", "internal/cli", "pkg/intake", "pkg/placement/sampled", "pkg/peer", "pkg/quarantine"}

// eventsOf returns the field names of each event logged in the sources, by its message.
func eventsOf(t *testing.T) map[string][]string {
	events := map[string][]string{}
	for _, dir := range loggingPackages {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no sources in %s: %v", dir, err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					recordEvent(t, events, call)
				}
				return true
			})
		}
	}
	return events
}

// recordEvent adds the event of a call that logs a literal message.
func recordEvent(t *testing.T, events map[string][]string, call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Info" && method.Sel.Name != "Error" {
		return
	}
	args := call.Args
	var fields []string
	if method.Sel.Name == "Error" {
		if len(args) == 0 {
			return // error.Error(), not a logger
		}
		args, fields = args[1:], []string{"error"}
	}
	if len(args) == 0 {
		return
	}
	message, ok := literal(args[0])
	if !ok {
		return
	}
	for i := 1; i < len(args); i += 2 {
		name, ok := literal(args[i])
		if !ok {
			t.Errorf("event %q has a field whose name is not a literal", message)
		}
		fields = append(fields, name)
	}
	if known, twice := events[message]; twice && !slices.Equal(known, fields) {
		t.Errorf("event %q is logged with the fields %v and %v", message, known, fields)
	}
	events[message] = fields
}

func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

// eventRow matches a row of the table of events in docs/OPERATIONS.md: event, when it is logged, fields.
var eventRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| ([^|]*) \\|$")

// Guards against events and fields that docs/OPERATIONS.md does not list or lists
// differently, and against an event that is logged with two sets of fields.
func TestEventsAreListed(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, table, found := strings.Cut(string(page), "| event | when | fields |")
	is.True(found)
	table, _, _ = strings.Cut(table, "\n\n")
	listed := map[string][]string{}
	for _, row := range eventRow.FindAllStringSubmatch(table, -1) {
		listed[row[1]] = strings.FieldsFunc(row[2], func(r rune) bool { return r == ',' || r == ' ' })
	}
	logged := eventsOf(t)
	for _, name := range slices.Sorted(maps.Keys(logged)) {
		if fields, ok := listed[name]; !ok || !slices.Equal(fields, logged[name]) {
			t.Errorf("event %q is logged with the fields %v and listed with %v", name, logged[name], listed[name])
		}
	}
	for name := range listed {
		if _, ok := logged[name]; !ok {
			t.Errorf("event %q is listed and never logged", name)
		}
	}
}
