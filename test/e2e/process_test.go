// Package e2e runs the built binary as separate processes on loopback. Tests wait
// for conditions. The timeout of a wait is long, so it only matters when a test
// fails.
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

// waitTimeout bounds each wait for a condition, a process or a command.
const waitTimeout = time.Minute

// binary is the path of the built binary.
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

// until waits for a condition and fails the test when waitTimeout has passed.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > waitTimeout {
			t.Fatalf("did not happen within %v: %s", waitTimeout, what)
		}
	}
}

// process is a process of the binary.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
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

// start starts the binary. When the test ends, the clean-up kills only this process
// and, if the test failed, logs its standard error.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
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

// wait waits for the process to exit and returns its exit code.
func (p *process) wait(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the process did not exit")
	}
	return p.cmd.ProcessState.ExitCode()
}

// until waits for a condition and fails the test at once if the process exits.
func (p *process) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	until(t, what, func() bool {
		select {
		case <-p.exited:
			t.Fatalf("the process exited with code %d before: %s", p.cmd.ProcessState.ExitCode(), what)
		default:
		}
		return ok()
	})
}

// stop sends SIGTERM and waits for the process to exit.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	p.wait(t)
}

// runCommand runs the binary until it exits and returns its output and exit code.
func runCommand(t *testing.T, stdin string, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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

// mustRun runs a command, fails the test if its exit code is not 0, and returns its
// standard output.
func mustRun(t *testing.T, stdin string, args ...string) string {
	t.Helper()
	out, errs, code := runCommand(t, stdin, args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d\n%s%s", args, code, out, errs)
	}
	return out
}

// client limits each request to half of waitTimeout, so that a request that hangs in
// a condition fails the test.
var client = &http.Client{Timeout: waitTimeout / 2}

// get returns the status and body of a response, or 0 and the error.
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

// entry is an instance that accepts requests.
type entry struct {
	*process
	callerAddress, adminAddress string
}

// startStore starts a stand-in store and waits until it responds.
func startStore(t *testing.T, address string, args ...string) *process {
	t.Helper()
	p := start(t, append([]string{"standin", "store", "--listen", address}, args...)...)
	p.until(t, "store responds", func() bool { code, _ := get("http://" + address + "/standin/faults"); return code == 200 })
	return p
}

// startEntry starts an entry with the default settings of these tests.
func startEntry(t *testing.T, name, domain, storeURL string) *entry {
	t.Helper()
	return startEntryWith(t, name, domain, storeURL, nil)
}

// startEntryWith starts an entry with settings that override the defaults of these tests.
func startEntryWith(t *testing.T, name, domain, storeURL string, settings map[string]any) *entry {
	t.Helper()
	e := &entry{callerAddress: fake.FreeAddress(t), adminAddress: fake.FreeAddress(t)}
	cfg := map[string]any{
		"instance": name, "region": "north", "regions": []string{"north"}, "failure_domain": domain,
		"callers":  map[string]any{"listen": e.callerAddress, "plaintext": true},
		"peers":    map[string]any{"listen": fake.FreeAddress(t), "plaintext": true},
		"admin":    map[string]any{"listen": e.adminAddress},
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
	e.until(t, "instance is ready", func() bool { code, _ := get("http://" + e.adminAddress + "/readyz"); return code == 200 })
}
