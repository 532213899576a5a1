package idempotency_test

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/idempotency"
	"github.com/turmericsail/turmericsail/pkg/view"
)

type oneMember struct{ view.Instance }

func (m oneMember) Live() []view.Instance { return []view.Instance{m.Instance} }

// An entry claims a request, sends it and stores the answer. A repeat gets the
// stored answer instead of a second run.
func ExampleCoordinator_Begin() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transport := fake.NewNetwork().Join("entry-1/7f")
	members := oneMember{view.Instance{ID: transport.Self(), Region: "north", FailureDomain: "north-1"}}
	replica := idempotency.NewReplica("north", 0, time.Now())
	replica.Serve(transport)
	views, err := view.New(view.Config{Region: "north", Transport: transport, Store: fake.NewKV(), Members: members, Records: replica})
	if err != nil {
		fmt.Println(err)
		return
	}
	coordinator, err := idempotency.New(idempotency.Config{Region: "north", Transport: transport, Views: views, Members: members, Replica: replica})
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = views.Run(ctx) }()

	key := idempotency.Key{Route: "creditbook", Identity: "purchase-81", Region: "north", Window: 10 * time.Minute}
	digest := idempotency.NewDigest("POST", "/credits", []byte(`{"amount":5}`))
	first := coordinator.Begin(ctx, key, digest)
	if first.Ticket != nil && first.Ticket.MaySend(time.Now()) {
		fmt.Println("sent to an upstream")
		first.Ticket.Finish([]byte("booked"))
	}
	repeat := coordinator.Begin(ctx, key, digest)
	fmt.Printf("repeat: %s\n", repeat.Answer.Body)
	// Output:
	// sent to an upstream
	// repeat: booked
}
