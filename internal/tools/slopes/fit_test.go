package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against a fit that swaps the axes, omits the intercept or does not
// minimize the squared residuals.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name             string
		points           []point
		slope, intercept float64
	}{
		{"exact line", []point{{4, 5}, {16, 11}, {64, 35}}, 0.5, 3},
		{"constant", []point{{0, 7}, {1, 7}, {20, 7}}, 0, 7},
		{"residuals", []point{{0, 0}, {1, 3}, {2, 0}}, 0, 1},
		{"falling", []point{{1, 2}, {3, -2}}, -2, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			slope, intercept := fit(c.points)
			is.True(math.Abs(slope-c.slope) < 1e-9)
			is.True(math.Abs(intercept-c.intercept) < 1e-9)
		})
	}
}
