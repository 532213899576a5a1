package quarantine_test

import (
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/quarantine"
)

// A request that was running on two upstreams when each of them was lost is refused.
func Example() {
	now := time.Unix(1000, 0)
	hasher, _ := quarantine.NewHasher("an example's key")
	f := hasher.Fingerprint(quarantine.Request{Method: "GET", Route: "roster", Path: "/roster/7"})
	t := quarantine.NewTable(quarantine.DefaultSettings())

	fmt.Println(t.Admit(now, f) == quarantine.Run)
	t.RecordLoss(now, f, quarantine.Loss{Upstream: 1, Domain: 1, At: now}, nil)
	fmt.Println(t.Admit(now, f) == quarantine.Serialize)
	t.RecordLoss(now, f, quarantine.Loss{Upstream: 2, Domain: 2, At: now}, nil)
	fmt.Println(t.Admit(now, f) == quarantine.Refuse)
	// Output:
	// true
	// true
	// true
}
