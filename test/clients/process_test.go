// Package clients sends the built program what untrusted clients may send, from small crowds. Each form checks that
// the process lives, that its memory and descriptors stay under a bound, and that an ordinary request and the
// readiness check are answered afterwards. No form checks times or shares of served requests.
package clients

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/internal/fake"
)

// waitTimeout bounds each wait for a condition, a process or a command.
const waitTimeout = time.Minute

// binary is the path of the built binary.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "turmericsail-clients-")
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

// start starts a command. When the test ends, the clean-up kills only this process and, if the test failed, logs the
// end of its standard error.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(name, args...), exited: make(chan struct{})}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			out := p.stderr.String()
			t.Logf("%v:\n%s", args, out[max(0, len(out)-4096):])
		}
	})
	return p
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// until waits for a condition and fails the test when the process exits or waitTimeout has passed.
func (p *process) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if !p.lives() || time.Since(begin) > waitTimeout {
			t.Fatalf("did not happen within %v: %s (the process lives: %t)", waitTimeout, what, p.lives())
		}
	}
}

// peakMemory returns the largest resident size that the process had, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatal("the process has no VmHWM")
	return 0
}

// descriptors returns the number of open descriptors, or 0 if the process has exited.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// get returns the status and body of a response on a connection of its own, or 0 and the error.
func get(url string) (int, string) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
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

func run(t *testing.T, stdin string, args ...string) string {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Stdin = strings.NewReader(stdin)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

// instance is an instance under test with its store and upstream.
type instance struct {
	*process
	caller, admin string
}

// descriptorLimit is the limit of open descriptors of the instance under test: as many connections of clients as a
// small crowd holds, in place of the 2,870 descriptors of the smallest machine.
const descriptorLimit = 160

// deploy starts a store, an upstream and an instance whose machine is the smallest one.
func deploy(t *testing.T) *instance {
	t.Helper()
	store, upstream := fake.FreeAddress(t), fake.FreeAddress(t)
	s := start(t, binary, "standin", "store", "--listen", store, "--data", t.TempDir()+"/store.json")
	s.until(t, "store responds", func() bool { code, _ := get("http://" + store + "/standin/faults"); return code == 200 })
	u := start(t, binary, "standin", "upstream", "--listen", upstream, "--id", "u1", "--slots", "64", "--service", "1ms")
	u.until(t, "upstream responds", func() bool { code, _ := get("http://" + upstream + "/health"); return code == 200 })
	run(t, fmt.Sprintf(`{"name":"roster","slots":64,"connections":40,"upstreams":[{"id":"u1","address":%q,"region":"north","failure_domain":"n1"}]}`, upstream), "pool", "put", "-", "--store", "http://"+store)
	run(t, `{"name":"all","match":{"path_prefix":"/"},"pool":"roster"}`, "route", "put", "-", "--store", "http://"+store)

	i := &instance{caller: fake.FreeAddress(t), admin: fake.FreeAddress(t)}
	limits := map[string]any{"header_timeout": "20s", "idle_timeout": "20s", "record_bytes": "1MiB", "max_instances": 1}
	if schema := run(t, "", "schema", "settings"); strings.Contains(schema, `"memory": {`) {
		limits["memory"] = "136MiB"
	}
	data, err := json.Marshal(map[string]any{
		"instance": "entry", "region": "north", "regions": []string{"north"}, "failure_domain": "n1",
		"callers": map[string]any{"listen": i.caller, "plaintext": true},
		"peers":   map[string]any{"listen": fake.FreeAddress(t), "plaintext": true},
		"admin":   map[string]any{"listen": i.admin},
		"store":   map[string]any{"address": "http://" + store},
		"limits":  limits,
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	// The shell replaces itself by the instance, so its ID is that of the instance.
	i.process = start(t, "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve --settings "$1"`, descriptorLimit), binary, path)
	i.until(t, "instance serves", func() bool { code, _ := get("http://" + i.caller + "/"); return code == 200 })
	return i
}
