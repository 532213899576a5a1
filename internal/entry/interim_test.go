package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against an instance that ends, with all its requests, because an interim response was forwarded to a caller that
// had left.
func TestCallerMayLeaveDuringInterimResponses(t *testing.T) {
	h2c := new(http.Protocols)
	h2c.SetUnencryptedHTTP2(true)
	for name, protocols := range map[string]*http.Protocols{"HTTP/1.1": nil, "HTTP/2": h2c} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(_ int64, c net.Conn) {
				if _, err := readRequest(c); err != nil {
					return
				}
				for range 30 {
					if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n"); err != nil {
						return
					}
					time.Sleep(100 * time.Microsecond)
				}
			})
			h := newHarness(t, testRoute(), []string{u.addr})
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			defer client.CloseIdleConnections()
			var callers sync.WaitGroup
			for caller := range 16 {
				callers.Go(func() {
					for n := range 100 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration(caller+n)*100*time.Microsecond)
						req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
						if err != nil {
							t.Error(err)
							cancel()
							return
						}
						if resp, err := client.Do(req); err == nil {
							_ = resp.Body.Close()
						}
						cancel()
					}
				})
			}
			callers.Wait()
		})
	}
}

// Guards against a connection or stream that ends without a refusal because an interim response was forwarded when the
// deadline passed.
func TestInterimResponsesAtTheDeadlineAreFollowedByARefusal(t *testing.T) {
	const deadline = 200 * time.Millisecond
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(deadline - 10*time.Millisecond)
		for range respcheck.MaxInterim {
			w.WriteHeader(http.StatusEarlyHints)
			time.Sleep(250 * time.Microsecond)
		}
	}))
	h2c := new(http.Protocols)
	h2c.SetUnencryptedHTTP2(true)
	for name, protocols := range map[string]*http.Protocols{"HTTP/1.1": nil, "HTTP/2": h2c} {
		t.Run(name, func(t *testing.T) {
			route := testRoute()
			route.Deadline = table.Duration(deadline)
			h := newHarness(t, route, []string{upstream})
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			defer client.CloseIdleConnections()
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() {
					for range 10 {
						resp, err := client.Post(h.url, "", nil)
						if err != nil {
							t.Error(err)
							continue
						}
						_ = resp.Body.Close()
						if resp.StatusCode != http.StatusGatewayTimeout {
							t.Error(resp.Status)
						}
					}
				})
			}
			callers.Wait()
		})
	}
}
