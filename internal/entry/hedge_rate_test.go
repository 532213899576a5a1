package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// instantRates is a fixedRates that has a number of tokens for second copies.
type instantRates struct {
	fixedRates
	left, asked, released atomic.Int64
}

var _ InstantRates = (*instantRates)(nil)

// AdmitNow implements InstantRates.
func (f *instantRates) AdmitNow(*table.Workspace) (func(), bool) {
	f.asked.Add(1)
	if f.left.Add(-1) < 0 {
		return nil, false
	}
	return func() { f.released.Add(1) }, true
}

// plainHedger sends a second copy of each slow request.
type plainHedger struct{}

// After implements Hedger.
func (plainHedger) After(*table.Pool, *table.Route) (time.Duration, bool) {
	return 20 * time.Millisecond, true
}

// Take implements Hedger.
func (plainHedger) Take(*table.Pool, *table.Route) bool { return true }

// ratePlanner sends a second copy of each slow request for which there is a token.
type ratePlanner struct{ plainHedger }

// Plan implements HedgePlanner.
func (ratePlanner) Plan(r HedgeRequest) HedgePlan {
	return HedgePlan{Send: r.TakeRate == nil || r.TakeRate()}
}

// Guards against second copies that are sent past the rate of their workspace, against tokens that stay used although their
// copy found no upstream, and against tokens that are taken for workspaces without a rate or without the planner.
func TestSecondCopiesTakeTokensOfTheRate(t *testing.T) {
	for _, c := range []struct {
		name            string
		hedger          Hedger
		rate            float64
		left            int64
		full            []string
		copies          int
		asked, released int64
	}{
		{"token", ratePlanner{}, 10, 1, nil, 1, 1, 0},
		{"no token", ratePlanner{}, 10, 0, nil, 0, 1, 0},
		{"no room", ratePlanner{}, 10, 1, []string{"u2"}, 0, 1, 1},
		{"no rate", ratePlanner{}, 0, 0, nil, 1, 0, 0},
		{"no planner", plainHedger{}, 10, 0, nil, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			slow := serveUpstream(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(300 * time.Millisecond):
				}
			}))
			fast := &recordingUpstream{}
			rates := &instantRates{fixedRates: fixedRates{ok: true}}
			rates.left.Store(c.left)
			h := newHarness(t, testRoute(), []string{slow, serveUpstream(t, fast)}, withPorts(func(p *Ports) {
				p.Placement, p.Hedger, p.Rates = fullUpstreams{c.full}, c.hedger, rates
			}))
			h.workspaces = []table.Workspace{limited("good", c.rate)}
			h.apply()
			is.Equal(h.do("GET", "/", nil, bearer("good")...).status, 200)
			is.Equal(fast.count(), c.copies)
			is.Equal(rates.asked.Load(), c.asked)
			is.Equal(rates.released.Load(), c.released)
		})
	}
}
