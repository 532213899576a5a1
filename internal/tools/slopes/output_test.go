package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var example = series{file: "example", x: "instances", y: "bytes", points: []point{{4, 5}, {16, 11}, {64, 35}}}

// Guards against a report that lacks the note on the shared process, a point or the fitted line.
func TestWrite(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(writeReport(&out, []series{example}))
	for _, part := range []string{"share one process", "4: 5, 16: 11, 64: 35  0.5    3\n"} {
		is.True(strings.Contains(out.String(), part))
	}
}

// Guards against a plot file that is not SVG.
func TestPlot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(example.plot(dir))
	data, err := os.ReadFile(filepath.Join(dir, "example.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(data), "<svg"))
}
