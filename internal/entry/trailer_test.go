package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response whose end never arrives because its upstream announces a trailer and sends none, and against the loss of
// those that it does send.
func TestAnnouncedTrailerThatIsNotSent(t *testing.T) {
	const twoAnnounced = "HTTP/1.1 200 OK\r\nTrailer: Etag, X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n"
	for protocol, client := range callersOf(t) {
		client.Timeout = 5 * time.Second
		for _, c := range []struct {
			name, response, body string
			trailer              http.Header // with values
		}{
			{"none", trailedHead + "2\r\nok\r\n0\r\n\r\n", "ok", http.Header{}},
			{"none and no body", trailedHead + "0\r\n\r\n", "", http.Header{}},
			{"one of two", twoAnnounced + "2\r\nok\r\n0\r\nX-Sum: 2\r\n\r\n", "ok", http.Header{"X-Sum": {"2"}}},
			{"another one", trailedHead + "2\r\nok\r\n0\r\nX-Sum: 2\r\n\r\n", "ok", http.Header{"X-Sum": {"2"}}},
		} {
			t.Run(strings.ReplaceAll(protocol, "/", " ")+"/"+c.name, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, testRoute(), []string{newFixedUpstream(t, c.response).addr})
				resp, err := client.Get(h.url)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), c.body)
				sent := http.Header{}
				for name, values := range resp.Trailer {
					if len(values) > 0 {
						sent[name] = values
					}
				}
				is.Equal(sent, c.trailer)
			})
		}
	}
}
