package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/rate"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// Guards against workspaces without a rate that are limited, or counted as a reason to send messages.
func TestLimitsOfTables(t *testing.T) {
	is := is.New(t)
	is.Equal(limitsOf(nil), nil)
	tables := table.NewTables(1, nil, nil)
	is.Equal(limitsOf(tables), nil)
	is.Equal(limitsOf(tables.WithWorkspaces([]table.Workspace{{Name: "free", Burst: 5}, {Name: "limited", RatePerSecond: 3, Burst: 2}})),
		[]rate.Limit{{Name: "limited", Rate: 3, Burst: 2}})
}

// Guards against excesses that are mixed up.
func TestRulesOfBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(rulesOf(platform.Bounds{QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20}), rate.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
}
