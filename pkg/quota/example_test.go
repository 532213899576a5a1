package quota_test

import (
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/quota"
)

type alwaysAuthority struct{ loaded time.Time }

func (a alwaysAuthority) Held(time.Time) (uint64, time.Time, bool) { return 1, a.loaded, true }

// A holder requests a unit from the allocator, uses it and releases it.
func Example() {
	now := time.Unix(1000, 0)
	settings := quota.DefaultSettings()
	allocator := quota.NewAllocator(settings, 1)
	holder := quota.NewHolder(settings, quota.NewGate(now, 0))

	_, ok := holder.Gate().Acquire(now)
	fmt.Println("without a grant:", ok)

	request := holder.Request(now)
	holder.Receive(now, allocator.Handle(now, alwaysAuthority{now.Add(-time.Hour)}, "a/1", request))
	permit, ok := holder.Gate().Acquire(now)
	fmt.Println("with a grant:", ok)
	_, ok = holder.Gate().Acquire(now)
	fmt.Println("beyond the limit:", ok)
	permit.Done()
	// Output:
	// without a grant: false
	// with a grant: true
	// beyond the limit: false
}
