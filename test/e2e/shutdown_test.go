package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"
)

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }

// responseResult is the body of a response, or the error that ended it.
type responseResult struct {
	body string
	err  error
}

// firstHalf is the first half of a response of the slow upstream.
const firstHalf = "first half, "

// startEntryWithSlowUpstream starts an entry whose upstream sends the second half of
// its response only after release is closed. It sends one request with ask and returns when
// the upstream runs it; the channel delivers the response.
func startEntryWithSlowUpstream(t *testing.T, release <-chan struct{}, ask func(address string) responseResult) (*entry, <-chan responseResult) {
	t.Helper()
	running := make(chan struct{}, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, firstHalf)
		_ = http.NewResponseController(w).Flush()
		running <- struct{}{}
		select {
		case <-release:
			_, _ = io.WriteString(w, "second half")
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(upstream.Close)
	store := fake.FreeAddress(t)
	startStore(t, store)
	address := strings.TrimPrefix(upstream.URL, "http://")
	pool := fmt.Sprintf(`{"name":"slow","slots":1,"connections":10,"upstreams":[{"id":"u","address":%q,"region":"north","failure_domain":"n1"}]}`, address)
	mustRun(t, pool, "pool", "put", "-", "--store", "http://"+store)
	mustRun(t, `{"name":"slow","pool":"slow","match":{"path_prefix":"/"}}`, "route", "put", "-", "--store", "http://"+store)
	e := startEntry(t, "slow", "n1", "http://"+store)
	e.untilReady(t)

	result := make(chan responseResult, 1)
	go func() { result <- ask(e.callerAddress) }()
	select {
	case <-running:
	case got := <-result:
		t.Fatalf("the request ended before the upstream ran it: %+v", got)
	}
	return e, result
}

// askHTTP11 sends a request over HTTP/1.1.
func askHTTP11(address string) responseResult {
	resp, err := client.Get("http://" + address + "/")
	if err != nil {
		return responseResult{"", err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return responseResult{string(body), err}
}

// askHTTP10 returns a function that sends a request over HTTP/1.0 and closes begun when the first half of the response has arrived.
func askHTTP10(begun chan<- struct{}) func(address string) responseResult {
	return func(address string) responseResult {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return responseResult{"", err}
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
			return responseResult{"", err}
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return responseResult{"", err}
		}
		start := make([]byte, len(firstHalf))
		if _, err := io.ReadFull(resp.Body, start); err != nil {
			return responseResult{"", err}
		}
		close(begun)
		rest, err := io.ReadAll(resp.Body)
		return responseResult{string(start) + string(rest), err}
	}
}

// startHalfResponseOverHTTP10 returns when a caller of HTTP/1.0 has the first half of the response; see startEntryWithSlowUpstream.
func startHalfResponseOverHTTP10(t *testing.T, release <-chan struct{}) (*entry, <-chan responseResult) {
	t.Helper()
	begun := make(chan struct{})
	e, result := startEntryWithSlowUpstream(t, release, askHTTP10(begun))
	select {
	case <-begun:
	case got := <-result:
		t.Fatalf("the request ended before the first half of its response: %+v", got)
	}
	return e, result
}

// untilLeaving waits until the entry has begun its shutdown.
func (e *entry) untilLeaving(t *testing.T) {
	t.Helper()
	e.until(t, "instance reports that it is leaving", func() bool {
		code, body := get("http://" + e.adminAddress + "/readyz")
		return code == http.StatusServiceUnavailable && strings.Contains(body, "leaving")
	})
}

// Guards against a graceful shutdown that aborts a response in progress.
func TestShutdownFinishesRunningAnswers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	e, result := startEntryWithSlowUpstream(t, release, askHTTP11)
	e.signal(t, syscall.SIGTERM)
	e.untilLeaving(t)
	until(t, "entry stops accepting connections", func() bool {
		conn, err := net.Dial("tcp", e.callerAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	close(release)
	got := <-result
	is.NoErr(got.err)
	is.Equal(got.body, "first half, second half")
	is.Equal(e.wait(t), 0)
}

// Guards against a second signal that waits for responses in progress, as the
// first one does.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	e, result := startEntryWithSlowUpstream(t, release, askHTTP11)
	e.signal(t, syscall.SIGTERM)
	e.untilLeaving(t)
	e.signal(t, syscall.SIGTERM)
	e.wait(t) // the upstream has not sent the second half
	got := <-result
	is.True(got.err != nil) // the caller gets an error for the truncated response
}

// Guards against a response that looks whole to a caller of HTTP/1.0 although the process ended in the middle of it, and against one
// that is whole and looks cut.
func TestEndOfTheProcessOverHTTP10(t *testing.T) {
	for name, end := range map[string]func(e *entry){
		"SIGKILL": func(e *entry) { e.signal(t, syscall.SIGKILL) },
		"second SIGTERM": func(e *entry) {
			e.signal(t, syscall.SIGTERM)
			e.untilLeaving(t)
			e.signal(t, syscall.SIGTERM)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			defer close(release)
			e, result := startHalfResponseOverHTTP10(t, release)
			end(e)
			e.wait(t)
			got := <-result
			is.True(got.err != nil)
		})
	}
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		e, result := startHalfResponseOverHTTP10(t, release)
		e.signal(t, syscall.SIGTERM)
		e.untilLeaving(t)
		close(release)
		got := <-result
		is.NoErr(got.err)
		is.Equal(got.body, "first half, second half")
		is.Equal(e.wait(t), 0)
	})
}
