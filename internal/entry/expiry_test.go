package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against a connection that ends without a whole response or a refusal because the response and the deadline came
// together.
func TestResponseAtTheDeadlineIsWholeOrRefused(t *testing.T) {
	const (
		deadline = 100 * time.Millisecond
		size     = 100 << 10
	)
	var n atomic.Int64
	var ran sync.Map // by path
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path, true)
		time.Sleep(deadline - time.Millisecond + time.Duration(n.Add(1)%100)*10*time.Microsecond)
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	for _, identified := range []bool{false, true} {
		t.Run(fmt.Sprintf("with identity %v", identified), func(t *testing.T) {
			route := testRoute()
			route.Deadline = table.Duration(deadline)
			h := newHarness(t, route, []string{upstream}, withPorts(func(p *Ports) { p.Claims = &memoryClaims{} }))
			var callers sync.WaitGroup
			for caller := range 16 {
				callers.Go(func() {
					for n := range 25 {
						var header []string
						if identified {
							header = []string{"Idempotency-Key", fmt.Sprintf("%d-%d", caller, n)}
						}
						path := fmt.Sprintf("/%v/%d-%d", identified, caller, n)
						r := h.do("POST", path, nil, header...)
						_, reached := ran.Load(path)
						switch {
						case r.err != nil:
							t.Error(r.status, r.err)
						case r.status == http.StatusGatewayTimeout, len(r.body) == size:
						case r.status == http.StatusServiceUnavailable && r.outcome() == string(NotRun) && !reached: // a refusal
						default:
							t.Error(r.status, len(r.body), r.outcome(), r.body[:min(len(r.body), 200)])
						}
					}
				})
			}
			callers.Wait()
		})
	}
}

// deadlineRecorder counts the write deadlines that are set.
type deadlineRecorder struct {
	http.ResponseWriter
	set int
}

func (d *deadlineRecorder) SetWriteDeadline(time.Time) error {
	d.set++
	return nil
}

// Guards against a timer that expired while a caller read slowly, and that ends a later write to the same connection.
func TestLateTimerEndsNoLaterWrite(t *testing.T) {
	is := is.New(t)
	d := &deadlineRecorder{}
	x := &exchange{e: &Entry{timing: defaultTiming}, control: *http.NewResponseController(d), watchdog: time.NewTimer(time.Hour)}
	x.watch(phaseWriting)
	x.expire()
	is.Equal(d.set, 0) // the caller has read meanwhile, and the next write has begun
	x.e.timing.responseStall = 0
	x.watch(phaseWriting)
	x.close()
	x.expire()
	is.Equal(d.set, 0) // the connection may carry the next request
}
