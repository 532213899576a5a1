package placement_test

import (
	"context"
	"fmt"

	"github.com/turmericsail/turmericsail/pkg/placement"
	"github.com/turmericsail/turmericsail/pkg/table"
)

func Example() {
	pool := table.Pool{Name: "roster", Slots: 4, Upstreams: []table.Upstream{
		{ID: "a", Region: "north", FailureDomain: "north-1"},
		{ID: "b", Region: "south", FailureDomain: "south-1"},
	}}
	tables := table.NewTables(1, nil, []table.Pool{pool})
	policy, err := placement.NewBaseline(placement.LeastInFlight, placement.BaselineSettings{Tables: func() *table.Tables { return tables }})
	if err != nil {
		panic(err)
	}
	permit, err := policy.Acquire(context.Background(), placement.Request{Pool: "roster", HomeRegions: []string{"south"}})
	if err != nil {
		panic(err)
	}
	fmt.Println(permit.Upstream().ID)
	permit.Done(placement.Outcome{Result: placement.Answered})
	// Output: b
}
