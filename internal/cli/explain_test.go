package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

const exampleLog = `noise that is not JSON
e1 {"time":"2026-01-01T10:00:00Z","level":"INFO","msg":"changed","key":"servers/i-1","deleted":true}
e1 {"time":"2026-01-01T10:00:00.1Z","level":"INFO","msg":"changed","key":"servers/i-2","deleted":true}
e1 {"time":"2026-01-01T09:00:00Z","level":"INFO","msg":"store lost"}
e2 {"time":"2026-01-01T10:00:00Z","level":"INFO","msg":"store lost"}
e1 {"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"request","request":"abc","status":502}
e1 {"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"attempt","request":"abc","upstream":"i-1","error":"connection reset"}
e1 {"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"attempt","request":"abcd","upstream":"i-3"}
`

// Guards against output that mixes requests, leaves out state events of the instance, or is not sorted by time.
func TestExplain(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(path, []byte(exampleLog), 0o600))
	var out, errs bytes.Buffer
	is.Equal(Main(context.Background(), []string{"explain", "abc", path}, &out, &errs), ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], "e1 changed: deleted=true key=servers/i-1"))
	is.True(strings.Contains(lines[1], "attempt: error=connection reset upstream=i-1"))
	is.True(strings.Contains(lines[2], "request: status=502"))
	is.Equal(Main(context.Background(), []string{"explain", "unknown", path}, &out, &errs), ExitNotFound)
	is.Equal(Main(context.Background(), []string{"explain", "-o", "xml", "abc", path}, &out, &errs), ExitInvalid)
}

// Guards against a refusal for an API key that does not show its reason and the configuration that decided it.
func TestExplainRefusalOfAKey(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(path, []byte(`e1 {"time":"2026-01-01T09:00:00Z","msg":"configuration in force","version":6}
e1 {"time":"2026-01-01T09:30:00Z","msg":"configuration in force","version":7}
e2 {"time":"2026-01-01T09:40:00Z","msg":"configuration in force","version":8}
e1 {"time":"2026-01-01T10:00:00Z","msg":"request","request":"abc","status":401,"refusal":"unknown-key","cause":"no workspace has the key of the request (configuration 7)"}
e1 {"time":"2026-01-01T10:00:01Z","msg":"configuration in force","version":9}
e1 {"time":"2026-01-01T10:00:02Z","msg":"request","request":"other","status":200}
`), 0o600))
	var out, errs bytes.Buffer
	is.Equal(Main(context.Background(), []string{"explain", "abc", path}, &out, &errs), ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "e1 configuration in force: version=7"))
	is.True(strings.Contains(lines[1], "cause=no workspace has the key of the request (configuration 7)"))
	out.Reset()
	is.Equal(Main(context.Background(), []string{"explain", "other", path}, &out, &errs), ExitOK)
	is.Equal(len(strings.Split(strings.TrimSpace(out.String()), "\n")), 2) // a request that was served: the recent change only
}

// Guards against keeping a whole log in memory: only the latest state events may be kept.
func TestExplainBoundsMemory(t *testing.T) {
	is := is.New(t)
	line := `{"time":"2026-01-01T10:00:00Z","msg":"store lost"}` + "\n"
	s := &requestTrace{id: "abc"}
	is.NoErr(s.read("e1", strings.NewReader(strings.Repeat(line, 3*maxStateLines))))
	is.True(len(s.stateLines) <= maxStateLines)
	is.True(fault.Is(s.print(&bytes.Buffer{}, "text"), fault.NotFound))
}
