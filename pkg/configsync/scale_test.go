package configsync

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Targets stated in the design documentation.
const (
	targetInForce = 2 * time.Second
	targetBytes   = 4 << 10 // per second and instance
)

// Guards against propagation of edits, failover of roles and control traffic that exceed
// their targets as the fleet grows. All times are virtual.
func TestScale(t *testing.T) {
	for _, n := range []int{4, 16, 64, 256} {
		if (testing.Short() || raceDetector) && n > 64 {
			t.Logf("%d instances are measured without -race and -short only, because of the run time", n)
			continue
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureScale(t, n) })
		})
	}
}

func measureScale(t *testing.T, n int) {
	f := newFleet(n)
	defer f.stop()
	for i := range n {
		f.start(i)
	}
	for range 20 {
		f.mustEdit(t, "a")
	}
	t.Logf("%3d instances: settled after %v", n, f.settle(2*time.Minute))
	if !f.settled() {
		t.Fatal("the fleet did not settle in time")
	}
	time.Sleep(time.Minute)
	measureTraffic(t, f, "at rest", 30*time.Second, func(int) {})
	measureEdits(t, f, "store healthy", standin.StoreFaults{DelayMS: 2}, false)
	measureEdits(t, f, "store slow", standin.StoreFaults{DelayMS: 200}, false)
	measureEdits(t, f, "store down after the write", standin.StoreFaults{DelayMS: 2}, true)
	f.store.SetFaults(standin.StoreFaults{DelayMS: 2})
	time.Sleep(time.Minute)
	measureTraffic(t, f, "churn", 60*time.Second, func(second int) {
		if second%5 == 0 { // 300 times the daily rate of 1,117 restarts and failures
			x := f.all[1+second/5%(n-1)]
			f.crash(x)
			f.start(x.index)
		}
		if second%20 == 0 {
			f.mustEdit(t, "a")
		}
	})
	measureFailover(t, f, "process crash", func(x *instance) { f.crash(x) })
	measureFailover(t, f, "machine loss", func(x *instance) { // connections are not refused, so calls time out
		f.network.SetPartition(func(a, b peer.InstanceID) bool { return a == x.id || b == x.id })
		x.cancel()
	})
}

func (f *fleet) mustEdit(t *testing.T, name string) int {
	count, err := f.edit(name)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// measureEdits measures the time from an accepted edit to each instance.
func measureEdits(t *testing.T, f *fleet, name string, faults standin.StoreFaults, downAfter bool) {
	var all []time.Duration
	for range 5 {
		f.store.SetFaults(faults)
		time.Sleep(7 * time.Second)
		count := f.mustEdit(t, "b")
		if downAfter { // enough time for one watch answer and one write of the head
			time.AfterFunc(5*time.Millisecond, func() { f.store.SetFaults(standin.StoreFaults{Down: true}) })
		}
		all = append(all, f.inForce("b", count, 20*time.Second)...)
		time.Sleep(time.Second)
	}
	slices.Sort(all)
	worst := all[len(all)-1]
	t.Logf("%3d instances, %s: in force p50 %v, p99 %v, worst %v", len(f.all), name, all[len(all)/2], all[len(all)*99/100], worst)
	if worst > targetInForce {
		t.Errorf("an edit took %v, the target is %v", worst, targetInForce)
	}
}

// measureTraffic measures control bytes and messages of each instance.
func measureTraffic(t *testing.T, f *fleet, name string, d time.Duration, each func(second int)) {
	before := map[*instance]peer.Count{}
	for _, x := range f.all {
		before[x] = x.node.Meter().Sent(peer.Control)
	}
	for second := range int(d / time.Second) {
		each(second)
		time.Sleep(time.Second)
	}
	var bytes, messages []float64
	for x, b := range before {
		if slices.Contains(f.all, x) {
			now := x.node.Meter().Sent(peer.Control)
			bytes = append(bytes, float64(now.Bytes-b.Bytes)/d.Seconds())
			messages = append(messages, float64(now.Messages-b.Messages)/d.Seconds())
		}
	}
	slices.Sort(bytes)
	slices.Sort(messages)
	last := len(bytes) - 1
	t.Logf("%3d instances, %s: control bytes/s p50 %.0f, worst %.0f; messages/s p50 %.1f, worst %.1f",
		len(f.all), name, bytes[last/2], bytes[last], messages[last/2], messages[last])
	if bytes[last] > targetBytes {
		t.Errorf("an instance sent %.0f control bytes/s, the target is %d", bytes[last], targetBytes)
	}
}

// measureFailover measures the time from a crash until another instance holds the role.
func measureFailover(t *testing.T, f *fleet, name string, end func(*instance)) {
	var all []time.Duration
	for i := range 5 {
		f.settle(time.Minute)
		role := fmt.Sprint("role ", i)
		holder := f.holder(role, nil)
		if holder == nil {
			t.Fatalf("no instance holds %s", role)
		}
		end(holder)
		start := time.Now()
		for f.holder(role, holder) == nil && time.Since(start) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		all = append(all, time.Since(start))
		f.network.Heal()
		f.start(holder.index)
	}
	slices.Sort(all)
	t.Logf("%3d instances, %s: role held elsewhere p50 %v, worst %v", len(f.all), name, all[len(all)/2], all[len(all)-1])
	if all[len(all)-1] >= time.Minute {
		t.Error("no other instance took over a role within 1 minute")
	}
}

func (f *fleet) holder(role string, except *instance) *instance {
	for _, x := range f.all {
		if x != except && x.tracker.Holds(role, membership.Fleet(), 1) {
			return x
		}
	}
	return nil
}
