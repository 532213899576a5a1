// Package e2e tests the built binary as separate processes on loopback. Waits
// end on conditions; their limit is generous and decides nothing when the tests
// pass.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/internal/fake"
)

// limit bounds every wait.
const limit = time.Minute

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "turmericsail-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "turmericsail")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/turmericsail").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// until waits for a condition.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > limit {
			t.Fatalf("did not happen within %v: %s", limit, what)
		}
	}
}

// process is a running instance of the binary.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	mu     sync.Mutex
	stderr bytes.Buffer
}

// Write collects standard error.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stderr.Write(b)
}

// output returns what the process has written to standard error.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stderr.String()
}

// start runs the binary until the test ends; the clean-up kills this process only.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("%v:\n%s", args, p.stderr.String())
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wait returns the exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(limit):
		t.Fatal("the process did not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// until waits for a condition while the process runs; its end fails the test at once.
func (p *process) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	until(t, what, func() bool {
		select {
		case <-p.ended:
			t.Fatalf("the process ended with code %d before: %s", p.cmd.ProcessState.ExitCode(), what)
		default:
		}
		return ok()
	})
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	p.wait(t)
}

// command runs the binary to its end and returns its output and exit code.
func command(t *testing.T, stdin string, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, args...)
	var out, errs bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("%v: %v", args, err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// must runs a command that has to succeed.
func must(t *testing.T, stdin string, args ...string) string {
	t.Helper()
	out, errs, code := command(t, stdin, args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d\n%s%s", args, code, out, errs)
	}
	return out
}

// client bounds each request, so that a condition that hangs fails its test.
var client = &http.Client{Timeout: limit / 2}

func get(url string) (int, string) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// entry is an entry instance.
type entry struct {
	*process
	callers, admin string
}

func startStore(t *testing.T, address string, args ...string) *process {
	t.Helper()
	p := start(t, append([]string{"standin", "store", "--listen", address}, args...)...)
	p.until(t, "store answers", func() bool { code, _ := get("http://" + address + "/standin/faults"); return code == 200 })
	return p
}

func startEntry(t *testing.T, name, domain, storeURL string) *entry {
	t.Helper()
	return startEntryWith(t, name, domain, storeURL, nil)
}

// startEntryWith starts an entry with the given settings in place of the usual ones.
func startEntryWith(t *testing.T, name, domain, storeURL string, settings map[string]any) *entry {
	t.Helper()
	e := &entry{callers: fake.FreeAddress(t), admin: fake.FreeAddress(t)}
	cfg := map[string]any{
		"instance": name, "region": "north", "regions": []string{"north"}, "failure_domain": domain,
		"callers":  map[string]any{"listen": e.callers, "plaintext": true},
		"peers":    map[string]any{"listen": fake.FreeAddress(t), "plaintext": true},
		"admin":    map[string]any{"listen": e.admin},
		"store":    map[string]any{"address": storeURL},
		"shutdown": map[string]any{"notice": "100ms"},
		"log":      map[string]any{"debug": true},
	}
	maps.Copy(cfg, settings)
	data, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	e.process = start(t, "serve", "--settings", path)
	return e
}

func (e *entry) untilReady(t *testing.T) {
	t.Helper()
	e.until(t, "instance is ready", func() bool { code, _ := get("http://" + e.admin + "/readyz"); return code == 200 })
}
