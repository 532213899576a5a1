package respcheck_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// cuts returns the number of counted responses that were cut short.
func cuts(source respcheck.Source, reason string) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_cut_responses_total{source=%q,reason=%q}", source, reason)).Get()
}

// serveCut serves a response to one request on each connection and ends the connection after a moment, with a reset if linger is 0.
func serveCut(t *testing.T, response string, linger int, after time.Duration) (address string) {
	t.Helper()
	return respchecktest.ServeConns(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
			time.Sleep(after)
			_ = c.SetLinger(linger)
		}
	})
}

// Guards against a body that was cut short and whose error does not tell so, or that is counted more than once.
func TestCutBodyIsCounted(t *testing.T) {
	for _, c := range []struct {
		name, response string
		linger         int
		reason         string
	}{
		{"reset", "HTTP/1.1 200 OK\r\n\r\npart", 0, "reset"},
		{"reset within the length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", 0, "reset"},
		{"end within the length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", -1, "early-end"},
		{"end within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart", -1, "early-end"},
		{"end before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", -1, "early-end"},
		{"malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\nx\r\n", -1, "failure"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := respcheck.Target.Client(&http.Client{Transport: &http.Transport{}})
			before := cuts(respcheck.Target, c.reason)
			resp, err := client.Get("http://" + serveCut(t, c.response, c.linger, 5*time.Millisecond))
			is.NoErr(err)
			defer resp.Body.Close()
			for range 2 {
				_, err = io.ReadAll(resp.Body)
				is.True(errors.Is(err, respcheck.ErrCut))
				is.True(respcheck.Broken(err))
			}
			is.Equal(cuts(respcheck.Target, c.reason)-before, uint64(1))
		})
	}
}

// Guards against a response that its reader has given up and that is counted as cut short by the server.
func TestAbandonedBodyIsNotCut(t *testing.T) {
	for name, abandon := range map[string]func(*http.Response, context.CancelFunc){
		"cancelled": func(_ *http.Response, cancel context.CancelFunc) { cancel() },
		"closed":    func(resp *http.Response, _ context.CancelFunc) { _ = resp.Body.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := respcheck.Target.Client(&http.Client{Transport: &http.Transport{}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+serveCut(t, "HTTP/1.1 200 OK\r\n\r\npart", 0, time.Second), nil)
			is.NoErr(err)
			before := cuts(respcheck.Target, "reset") + cuts(respcheck.Target, "failure")
			resp, err := client.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			abandon(resp, cancel)
			_, err = io.ReadAll(resp.Body)
			is.True(err != nil)
			is.True(!respcheck.Broken(err))
			is.Equal(cuts(respcheck.Target, "reset")+cuts(respcheck.Target, "failure")-before, uint64(0))
		})
	}
}
