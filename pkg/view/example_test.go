package view_test

import (
	"fmt"

	"github.com/turmericsail/turmericsail/pkg/view"
)

// A restarted instance has a new ID and replaces its former incarnation in the next
// view, which keeps the other members. Write quorum and seal quorum of a view intersect.
func ExampleChoose() {
	live := []view.Instance{
		{ID: "entry-1/7f", Region: "north", FailureDomain: "north-1"},
		{ID: "entry-2/a0", Region: "north", FailureDomain: "north-1"},
		{ID: "entry-3/13", Region: "north", FailureDomain: "north-2"},
		{ID: "entry-4/c4", Region: "north", FailureDomain: "north-2"},
	}
	v := view.View{Region: "north"}.Next(view.Choose("north", nil, live))
	fmt.Println("epoch", v.Epoch, "members", v.IDs())
	fmt.Println("write quorum", v.WriteQuorum(), "seal quorum", v.SealQuorum())

	restarted := append(live[:3:3], view.Instance{ID: "entry-4/ee", Region: "north", FailureDomain: "north-2"})
	next := v.Next(view.Choose("north", v.Members, restarted))
	fmt.Println("epoch", next.Epoch, "members", next.IDs())
	fmt.Println("seals epoch", next.Predecessors[0].Epoch)
	// Output:
	// epoch 1 members [entry-1/7f entry-2/a0 entry-3/13 entry-4/c4]
	// write quorum 3 seal quorum 2
	// epoch 2 members [entry-1/7f entry-2/a0 entry-3/13 entry-4/ee]
	// seals epoch 1
}
