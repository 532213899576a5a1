package e2e

import (
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

type answer struct {
	body string
	err  error
}

// slowEntry starts an entry before an upstream that sends the second half of
// its answer only once release is closed. It returns when the upstream runs the
// request.
func slowEntry(t *testing.T, release <-chan struct{}) (*entry, <-chan answer) {
	t.Helper()
	running := make(chan struct{}, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first half, ")
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
	must(t, pool, "pool", "put", "-", "--store", "http://"+store)
	must(t, `{"name":"slow","pool":"slow","match":{"path_prefix":"/"}}`, "route", "put", "-", "--store", "http://"+store)
	e := startEntry(t, "slow", "n1", "http://"+store)
	e.untilReady(t)

	result := make(chan answer, 1)
	go func() {
		resp, err := client.Get("http://" + e.callers + "/")
		if err != nil {
			result <- answer{"", err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		result <- answer{string(body), err}
	}()
	select {
	case <-running:
	case got := <-result:
		t.Fatalf("the request ended before the upstream ran it: %+v", got)
	}
	return e, result
}

func (e *entry) untilLeaving(t *testing.T) {
	t.Helper()
	e.until(t, "instance reports that it is leaving", func() bool {
		code, body := get("http://" + e.admin + "/readyz")
		return code == http.StatusServiceUnavailable && strings.Contains(body, "leaving")
	})
}

// Guards against a graceful shut-down that cuts off a running answer.
func TestShutdownFinishesRunningAnswers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	e, result := slowEntry(t, release)
	e.signal(t, syscall.SIGTERM)
	e.untilLeaving(t)
	until(t, "entry stops accepting", func() bool {
		conn, err := net.Dial("tcp", e.callers)
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

// Guards against a second signal that waits for running answers as the first does.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	e, result := slowEntry(t, release)
	e.signal(t, syscall.SIGTERM)
	e.untilLeaving(t)
	e.signal(t, syscall.SIGTERM)
	e.wait(t) // the answer is still held back
	got := <-result
	is.True(got.err != nil) // the caller sees that the answer is not whole
}
