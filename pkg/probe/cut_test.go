package probe

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against an upstream that counts as healthy, or whose load is believed, because of a response that was cut short.
func TestCutResponseIsNoSignOfHealth(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		linger int
	}{
		"reset":                     {"", 0},
		"end within the length":     {"Content-Length: 9\r\n", -1},
		"end before the last chunk": {"Transfer-Encoding: chunked\r\n", -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+Header+": in_flight=0, slots=9, state=ok\r\n"+c.head+"\r\n1\r\nx")
				_ = conn.(*net.TCPConn).SetLinger(c.linger)
				_ = conn.Close()
			}))
			defer server.Close()
			for range 20 {
				r := HTTPChecker{}.Check(t.Context(), Target{Address: server.Listener.Addr().String(), Path: "/health"})
				is.True(!r.OK)
				is.True(!r.HasLoad)
			}
		})
	}
}
