package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response whose end never arrives because its upstream announces a trailer and sends none.
func TestAnnouncedTrailerThatIsNotSent(t *testing.T) {
	for protocol, client := range callersOf(t) {
		t.Run(strings.ReplaceAll(protocol, "/", " "), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{newFixedUpstream(t, trailedHead+"2\r\nok\r\n0\r\n\r\n").addr})
			h.client = client
			h.client.Timeout = 5 * time.Second
			r := h.do("GET", "/", nil)
			is.NoErr(r.err)
			is.Equal(r.body, "ok")
		})
	}
}
