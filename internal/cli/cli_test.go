package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

type result struct {
	code        int
	out, errors string
}

func runCLI(t *testing.T, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	code := Main(t.Context(), args, &out, &errs)
	return result{code, out.String(), errs.String()}
}

func newStore(t *testing.T) (*standin.Store, string) {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func writeTestFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "row.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const rosterRow = `{"name":"roster","match":{"path_prefix":"/roster"},"pool":"roster"}`

// Guards against commands that end with an exit code other than the documented one.
func TestExitCodes(t *testing.T) {
	_, url := newStore(t)
	row := writeTestFile(t, rosterRow)
	for _, c := range []struct {
		args string
		want int
	}{
		{"route put " + row + " --store " + url, ExitOK},
		{"route put " + row + " --if-revision 0 --store " + url, ExitConflict},
		{"route get none --store " + url, ExitNotFound},
		{"route get roster --store http://127.0.0.1:1", ExitUnavailable},
		{"route edit roster --set class=high --store " + url, ExitInvalid},
		{`route edit roster --set class="high" --store ` + url, ExitInvalid},
		{`route edit roster --set name="other" --store ` + url, ExitInvalid},
		{"route list -o yaml --store " + url, ExitInvalid},
		{"route list --no-such-flag", ExitInvalid},
		{"route get", ExitInvalid},
		{"schema nothing", ExitNotFound},
		{"check", ExitInvalid},
		{"status --store " + url, ExitUnavailable}, // no instance is listed
		{"load http://127.0.0.1:1 --requests 1", ExitFailed},
		{"version -o json", ExitOK},
		{"completion bash", ExitOK},
	} {
		t.Run(c.args, func(t *testing.T) {
			if got := runCLI(t, strings.Fields(c.args)...); got.code != c.want {
				t.Errorf("exit code %d, want %d: %s", got.code, c.want, got.errors)
			}
		})
	}
}

// Guards against concurrent edits at one revision of which more than one or none succeeds.
func TestRacingEdits(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	is.Equal(runCLI(t, "route", "put", writeTestFile(t, rosterRow), "--store", url).code, ExitOK)
	var read rowOutput
	is.NoErr(json.Unmarshal([]byte(runCLI(t, "route", "get", "roster", "-o", "json", "--store", url).out), &read))
	codes := make([]result, 8)
	var wg sync.WaitGroup
	for i := range codes {
		wg.Go(func() {
			codes[i] = runCLI(t, "route", "edit", "roster", "--set", fmt.Sprintf(`tenant="t%d"`, i), "--if-revision", fmt.Sprint(read.Revision), "--store", url)
		})
	}
	wg.Wait()
	won := 0
	for i, c := range codes {
		switch c.code {
		case ExitOK:
			won++
		case ExitConflict:
			is.True(strings.Contains(c.errors, fmt.Sprintf(`"tenant": "t%d"`, i))) // the losing version
			is.Equal(strings.Count(c.errors, `"tenant"`), 2)                       // and the winning one
			is.True(strings.Contains(c.errors, "--if-revision"))                   // and the remedy
		default:
			t.Errorf("edit %d: exit code %d: %s", i, c.code, c.errors)
		}
	}
	is.Equal(won, 1)
}

// Guards against an edit whose answer was lost being reported as failed or as conflicting with itself.
func TestLostAnswersAreResolved(t *testing.T) {
	is := is.New(t)
	s, url := newStore(t)
	for _, args := range [][]string{
		{"route", "put", writeTestFile(t, rosterRow)}, {"route", "edit", "roster", "--set", `class="bulk"`}, {"route", "delete", "roster"},
	} {
		s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
		got := runCLI(t, append(args, "--store", url)...)
		if got.code != ExitOK {
			t.Errorf("%v: exit code %d: %s", args, got.code, got.errors)
		}
	}
	is.Equal(runCLI(t, "route", "get", "roster", "--store", url).code, ExitNotFound)
}

// Guards against text from the editor that is written without validation, lost or ignored.
func TestEditInEditor(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	runCLI(t, "route", "put", writeTestFile(t, rosterRow), "--store", url)
	t.Setenv("EDITOR", "sed -i s/\"pool\":.*/\"pool\":\"depot\"/")
	got := runCLI(t, "route", "edit", "roster", "--store", url)
	is.Equal(got.code, ExitOK)
	is.True(strings.Contains(runCLI(t, "route", "get", "roster", "--store", url).out, `"pool": "depot"`))
	t.Setenv("EDITOR", "sed -i s/.*//")
	t.Setenv("TMPDIR", t.TempDir())
	got = runCLI(t, "route", "edit", "roster", "--store", url)
	is.Equal(got.code, ExitInvalid)
	is.True(strings.Contains(got.errors, "kept in")) // the message names the file that holds the text
	t.Setenv("EDITOR", "")
	is.Equal(runCLI(t, "route", "edit", "roster", "--store", url).code, ExitInvalid)
}

// Guards against shell completion that offers store keys instead of row names.
func TestCompletionOffersNames(t *testing.T) {
	_, url := newStore(t)
	runCLI(t, "route", "put", writeTestFile(t, rosterRow), "--store", url)
	got := runCLI(t, "__complete", "route", "get", "--store", url, "")
	if !strings.HasPrefix(got.out, "roster\n") {
		t.Errorf("offered %q", got.out)
	}
}

// registerInstance lists an instance whose admin listener reports the given revision; with a nil function
// its admin address refuses connections.
func registerInstance(t *testing.T, url, id string, revision func() uint64) {
	t.Helper()
	address := "127.0.0.1:1" // refuses connections
	if revision != nil {
		a := admin.New(settings.Admin{}, func() bool { return true }, func() any {
			return admin.Status{Instance: id, State: admin.StateServing, Revision: revision()}
		})
		server := httptest.NewServer(a)
		t.Cleanup(server.Close)
		address = server.Listener.Addr().String()
	}
	kv, err := consulkv.New(consulkv.Config{Address: url})
	if err != nil {
		t.Fatal(err)
	}
	row := store.ListedInstance{Service: store.ServiceName, ID: id, Address: "127.0.0.1:2", Admin: address}
	if err := kv.Register(t.Context(), row); err != nil {
		t.Fatal(err)
	}
}

// Guards against reporting an edit as in force on an instance that does not have it yet, and
// against a wait that does not end because one instance is unreachable.
func TestWait(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	startConfigSync(t, url)
	var statusCalls uint64
	registerInstance(t, url, "slow", func() uint64 { statusCalls++; return max(statusCalls, 2) - 2 }) // reaches the revision after some rounds
	registerInstance(t, url, "dead", nil)
	got := runCLI(t, "route", "put", writeTestFile(t, rosterRow), "--wait", "1m", "-o", "json", "--store", url)
	is.Equal(got.code, ExitOK)
	var w writeOutput
	is.NoErr(json.Unmarshal([]byte(got.out), &w))
	is.Equal(w.Wait.InForce, []string{"slow"})
	is.Equal(len(w.Wait.Unreachable), 1)
	is.True(strings.HasPrefix(w.Wait.Unreachable[0], "dead: "))
	is.True(w.TablesRevision > 0)
	is.True(statusCalls >= w.TablesRevision+2)

	registerInstance(t, url, "stuck", func() uint64 { return 1 })
	got = runCLI(t, "route", "edit", "roster", "--set", `class="bulk"`, "--wait", "3s", "--store", url)
	is.Equal(got.code, ExitFailed)
	is.True(strings.Contains(got.out, "not yet in force on stuck"))
	is.True(strings.Contains(runCLI(t, "status", "--store", url).out, "unreachable"))
}

// Guards against faults of workspaces that the check command misses, and against a key in its output.
func TestCheckConfiguration(t *testing.T) {
	is := is.New(t)
	got := runCLI(t, "check", "--configuration", "../../platform/testdata/shared-key.json")
	is.Equal(got.code, ExitInvalid)
	is.True(strings.Contains(got.out, `$.workspaces["next"].keys: has a key of workspace "acme"`))
	is.True(!strings.Contains(got.out+got.errors, "4711"))
}

// Guards against faults in tables that the check command misses or reports without their JSON path.
func TestCheckTables(t *testing.T) {
	is := is.New(t)
	tables := writeTestFile(t, `{"routes":[{"name":"a","pool":"none"},{"name":"a","pool":"p","clas":1}],"pools":[{"name":"p","slots":0,"connections":1}],"x":1}`)
	got := runCLI(t, "check", "--tables", tables, "-o", "json")
	is.Equal(got.code, ExitInvalid)
	var findings []finding
	is.NoErr(json.Unmarshal([]byte(got.out), &findings))
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{"$.routes[1].clas", "$.x", "$.routes[1].name", "$.pools[0].slots"})
	got = runCLI(t, "check", "--tables", writeTestFile(t, `{"routes":[{"name":"a","pool":"none"}],"pools":[]}`))
	is.True(strings.Contains(got.out, `pool "none" does not exist`))
}
