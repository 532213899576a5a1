package consulkv_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

// Guards against a write that counts as done because the store reset the connection while the value was being sent. Whether it took effect
// is unknown then.
func TestWriteCutByTheStore(t *testing.T) {
	const plays = 240
	value := []byte(strings.Repeat("x", 1_300_000))
	for _, end := range []respchecktest.End{respchecktest.Reset, respchecktest.Unread} {
		t.Run(string(end), func(t *testing.T) {
			is := is.New(t)
			server := respchecktest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\ntrue", end)
			client, err := consulkv.New(consulkv.Config{Address: "http://" + server.Address, Timeout: 10 * time.Second})
			is.NoErr(err)
			done := 0
			for range plays {
				_, err := client.CompareAndSwap(t.Context(), "p/a", value, 0)
				if err == nil {
					done++
					continue
				}
				is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
			}
			t.Logf("%d of %d writes counted as done", done, plays)
			is.Equal(done, 0)
			is.Equal(server.Requests.Load(), int64(plays))
		})
	}
}
