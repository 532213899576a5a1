package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"
)

func startUpstream(t *testing.T, cfg UpstreamConfig) (*Upstream, string) {
	u := NewUpstream(cfg)
	server := httptest.NewUnstartedServer(u)
	server.Config.ConnState, server.Config.ConnContext = u.ConnState, u.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return u, server.URL
}

func get(t *testing.T, url string, header ...string) (int, http.Header, string, error) {
	t.Helper()
	req, err := http.NewRequest("POST", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body), err
}

// Guards against a stand-in that sustains any load while cold, or that never becomes warm.
func TestColdUpstreamCrashesAndWarmsUp(t *testing.T) {
	is := is.New(t)
	u, url := startUpstream(t, UpstreamConfig{ID: "a", Slots: 4, ServiceTime: 50 * time.Millisecond, ColdAllowance: 1, ColdAnswers: 1, RestartDelay: time.Millisecond})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { _, _, _, _ = get(t, url) })
	}
	wg.Wait()
	is.True(u.Counts().ColdViolations > 0)
	// The last of the three requests may have run after the crash and have begun to warm the
	// upstream up, so the ramp is checked from a start without other requests.
	for starts := u.Counts().Starts; u.Counts().Starts == starts; time.Sleep(time.Millisecond) {
		_, _, _, err := get(t, url, CrashHeader, "1") // has no effect while the upstream is down
		is.True(err != nil)
	}
	for _, state := range []string{"cold", "cold", "ok"} { // the allowance is 1, 2 and then all slots
		_, header, _, err := get(t, url)
		for err != nil { // still down
			time.Sleep(time.Millisecond)
			_, header, _, err = get(t, url)
		}
		is.True(strings.Contains(header.Get("Turmericsail-Load"), "state="+state))
	}
	is.True(u.Counts().Starts > 1) // a new start after the crash
}

// Guards against a crash after which the address still accepts connections: refused
// connections are how callers detect the end of a process.
func TestCrashRefusesConnectionsUntilTheRestart(t *testing.T) {
	is := is.New(t)
	address := fake.FreeAddress(t)
	u := NewUpstream(UpstreamConfig{ID: "a", Slots: 4, ServiceTime: time.Millisecond, RestartDelay: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- u.Serve(ctx, address) }()
	untilServed := func() {
		for {
			if _, _, _, err := get(t, "http://"+address); err == nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	untilServed()
	_, _, _, err := get(t, "http://"+address, CrashHeader, "1")
	is.True(err != nil)
	refused := false
	for begin := time.Now(); !refused && time.Since(begin) < time.Second; {
		_, err := net.Dial("tcp", address)
		refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	is.True(refused)
	untilServed()
	is.Equal(u.Counts().Starts, uint64(2))
	cancel()
	is.NoErr(<-ended)
}

// Guards against a crash that does not abort the upstream's other requests, and
// against runs that are not counted.
func TestCrashCutsEverythingAndRunsAreCounted(t *testing.T) {
	is := is.New(t)
	u, url := startUpstream(t, UpstreamConfig{ID: "a", Slots: 4, ServiceTime: time.Hour, RestartDelay: time.Millisecond})
	other := make(chan error)
	go func() { _, _, _, err := get(t, url, "Idempotency-Key", "k"); other <- err }()
	for u.Runs()["k"] == 0 {
		time.Sleep(time.Millisecond)
	}
	_, _, _, err := get(t, url, CrashHeader, "1")
	is.True(err != nil)
	is.True(<-other != nil)
}

// Guards against faults that cannot be switched on or off, and against a refusal that
// does not state that the request was not run.
func TestFaultsCanBeSwitched(t *testing.T) {
	is := is.New(t)
	_, url := startUpstream(t, UpstreamConfig{ID: "a", Slots: 4})
	set := func(faults string) {
		req, _ := http.NewRequest("PUT", url+"/standin/faults", strings.NewReader(faults))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, 200)
	}
	for faults, want := range map[string]int{`{"drain":true}`: 503, `{"fail_fast":true}`: 500, `{}`: 200} {
		set(faults)
		status, header, _, err := get(t, url)
		is.NoErr(err)
		is.Equal(status, want)
		is.Equal(header.Get("Turmericsail-Outcome") == "not-run", want == 503)
	}
	set(`{"down":true}`)
	_, _, _, err := get(t, url)
	is.True(err != nil)
}

// Guards against a pattern with which moved or missing bytes go undetected.
func TestPatternShowsMovedBytes(t *testing.T) {
	is := is.New(t)
	data := make([]byte, 10_000)
	Pattern(data, 3)
	is.Equal(CheckPattern(data, 3), int64(-1))
	is.Equal(CheckPattern(data[5000:], 5003), int64(-1))
	is.True(CheckPattern(data[1:], 3) >= 0)
	is.True(CheckPattern(append(bytes.Clone(data[:100]), data[108:]...), 3) >= 100)
}
