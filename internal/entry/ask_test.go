package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// Guards against a probe that succeeds although its response was cut short.
func TestCutResponseToAProbeIsAFailure(t *testing.T) {
	for reason, c := range cutResponses {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{newCuttingUpstream(t, c.response, c.reset)})
			_, _, err := h.entry.Ask(t.Context(), &h.pool, h.pool.Upstreams[0], "/health")
			is.True(respcheck.Broken(err))
		})
	}
}
