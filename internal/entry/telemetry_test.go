package entry

import (
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
)

// Guards against a log in which the repeats of a request that lost its upstream cannot be found.
func TestLogOfLostAttemptsTellsRepeatsFromOthers(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	})
	var mu sync.Mutex
	var fingerprints []string
	log := funcr.NewJSON(func(line string) {
		var fields struct{ Msg, Error, Fingerprint string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Error(err)
		}
		if fields.Msg == "attempt" && fields.Error != "" {
			mu.Lock()
			defer mu.Unlock()
			fingerprints = append(fingerprints, fields.Fingerprint)
		}
	}, funcr.Options{})
	route := testRoute()
	route.Retry.MaxAttempts = 1
	h := newHarness(t, route, []string{upstream.addr}, func(s *settings.Settings, _ *Ports, e *Entry) {
		if s != nil {
			s.Log.Requests = true
		}
		if e != nil {
			e.log = log
		}
	})
	for _, path := range []string{"/a", "/a", "/b"} {
		is.Equal(h.do("GET", path, nil).status, 502)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(fingerprints), 3)
	is.True(fingerprints[0] != "")
	is.Equal(fingerprints[0], fingerprints[1])
	is.True(fingerprints[0] != fingerprints[2])
}
