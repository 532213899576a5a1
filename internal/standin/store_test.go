package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func call(s *Store, method, target, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

// Guards against a list without lag: no test would then cover instances that joined or left
// while the list still shows the earlier state.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		s.SetFaults(StoreFaults{ListLagMS: 3000})
		listed := func() bool {
			return strings.Contains(call(s, "GET", "/v1/health/service/roster", "").Body.String(), `"ID":"u1"`)
		}
		call(s, "PUT", "/v1/agent/service/register", `{"Name":"roster","ID":"u1","Address":"10.0.0.1","Port":80}`)
		is.True(!listed())
		time.Sleep(3 * time.Second)
		is.True(listed())
		call(s, "PUT", "/v1/agent/service/deregister/u1", "")
		is.True(listed())
		time.Sleep(3 * time.Second)
		is.True(!listed())
	})
}

// Guards against a session that expires early or is kept after its time to live,
// and against behaviour "release" deleting rows.
func TestSessionTimeToLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		for i, behavior := range []string{"delete", "release"} {
			w := call(s, "PUT", "/v1/session/create", fmt.Sprintf(`{"TTL":"10s","Behavior":%q}`, behavior))
			id := strings.Split(w.Body.String(), `"`)[3]
			is.Equal(call(s, "PUT", fmt.Sprintf("/v1/kv/k%d?acquire=%s", i, id), "v").Body.String(), "true")
			time.Sleep(9 * time.Second)
			is.Equal(call(s, "PUT", "/v1/session/renew/"+id, "").Code, http.StatusOK)
			time.Sleep(9 * time.Second)
			is.True(strings.Contains(call(s, "GET", fmt.Sprintf("/v1/kv/k%d", i), "").Body.String(), id))
			time.Sleep(2 * time.Second)
			is.Equal(call(s, "PUT", "/v1/session/renew/"+id, "").Code, http.StatusNotFound)
		}
		is.Equal(call(s, "GET", "/v1/kv/k0", "").Code, http.StatusNotFound)
		is.Equal(call(s, "GET", "/v1/kv/k1", "").Code, http.StatusOK)
	})
}

// Guards against counts that differ from the calls made: they are used to measure the load on the store.
func TestCountsAndControl(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	call(s, "PUT", "/v1/kv/a", "1")
	call(s, "GET", "/v1/kv/a", "")
	call(s, "GET", "/v1/kv/a?index=0", "") // index 0 does not block
	call(s, "GET", "/v1/kv/a?index=1", "")
	is.Equal(s.Counts(), StoreCounts{Reads: 2, Writes: 1, Watches: 1})
	w := call(s, "PUT", ControlPath, `{"down":true}`)
	is.True(strings.Contains(w.Body.String(), `"reads":2`))
	is.Equal(call(s, "GET", "/v1/kv/a", "").Code, http.StatusServiceUnavailable)
	is.Equal(call(s, "PUT", ControlPath, `{"dwn":true}`).Code, http.StatusBadRequest)
}
