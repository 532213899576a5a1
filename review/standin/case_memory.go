//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the limit of the site's machines, above which the platform kills a process.
	memoryLimit = 284 << 20
	// memoryStorms, memoryStormTime, memoryStormGap and memoryStormPause describe the storms: configurations follow each other
	// by the gap for the time of a storm, and then nothing changes for the pause.
	memoryStorms     = 18
	memoryStormTime  = 4 * time.Second
	memoryStormGap   = 167 * time.Millisecond
	memoryStormPause = time.Second
	// memoryQuiet is how long orders are sent before the first storm.
	memoryQuiet = 8 * time.Second
	// memorySample is the time between two looks at the memory of a process.
	memorySample = 100 * time.Millisecond
	// memoryOrderGap is the time between two orders.
	memoryOrderGap = 40 * time.Millisecond
	// memoryWork is how long an order takes.
	memoryWork = 210 * time.Millisecond
)

// residentBytes returns the resident memory of the process of an instance, or 0 if it does not run.
func (i *instance) residentBytes() int64 {
	i.mu.Lock()
	pid := i.cmd.Process.Pid
	i.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kB, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kB << 10
		}
	}
	return 0
}

// runMemoryCase lets the operator write many configurations. The platform kills a process that exceeds its memory. Counted are
// orders that a server ran and that ended without an answer, on machines without any disruption.
func runMemoryCase(d *deployment, trouble bool) (int, error) {
	seen := newObservations()
	for n := range 8 {
		service := []string{"old", "new"}[n%2]
		s, err := startServer(fmt.Sprintf("i-%s-%d", service, n), service, []string{"north-a", "north-b", "central-a", "central-b"}[n/2], seen, d.record)
		if err != nil {
			return 0, err
		}
		s.work = memoryWork
		d.store.write("servers/"+s.id, s.entry("ready"))
	}
	d.store.setHistory(stormHistory)
	first := stormConfig(3, stormRoutes, "old")
	d.record.add("operator: version 3, %d routes, %d bytes", stormRoutes+1, len(first))
	d.store.write("op/config", first)
	if err := d.addInstances([]place{{"north-a", "north"}, {"north-b", "north"}, {"central-a", "central"}}); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { d.limitMemory(stop) })
	cut := &lostOrders{}
	work.Go(func() { d.sendOrders(stop, seen, cut) })
	time.Sleep(memoryQuiet)
	version := 3
	for storm := range memoryStorms {
		begin := time.Now()
		for n := 0; trouble && time.Duration(n)*memoryStormGap < memoryStormTime; n++ {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * memoryStormGap)))
			version += 2
			d.store.write("op/config", stormConfig(version, stormRoutes, "old"))
		}
		time.Sleep(time.Until(begin.Add(memoryStormTime + memoryStormPause)))
		for _, i := range d.instances {
			d.record.add("after storm %d, version %d: %s has %d MB", storm+1, version, i.name, i.residentBytes()>>20)
		}
	}
	close(stop)
	work.Wait()
	cut.Lock()
	defer cut.Unlock()
	d.record.add("%d orders sent; %d ran and ended without an answer", cut.sent, cut.ran)
	return cut.ran, nil
}

// limitMemory kills processes that exceed the memory of their machine, and starts them again, as the platform does.
func (d *deployment) limitMemory(stop chan struct{}) {
	for tick := time.NewTicker(memorySample); ; {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for _, i := range d.instances {
			if bytes := i.residentBytes(); bytes > memoryLimit {
				d.record.add("platform: %s has %d MB, more than the %d MB of its machine", i.name, bytes>>20, memoryLimit>>20)
				d.signal(i, syscall.SIGKILL)
				i.await(time.Second)
				_ = d.start(i)
			}
		}
	}
}

// lostOrders counts the orders.
type lostOrders struct {
	sync.Mutex
	sent, ran int
}

// sendOrders sends orders to all instances until stop is closed.
func (d *deployment) sendOrders(stop chan struct{}, seen *observations, cut *lostOrders) {
	var running sync.WaitGroup
	defer running.Wait()
	for n, tick := 0, time.NewTicker(memoryOrderGap); ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		running.Go(func() {
			id := fmt.Sprintf("memory-%06d", n)
			ran := d.sendOrder(d.instances[n%len(d.instances)], seen, id)
			cut.Lock()
			defer cut.Unlock()
			cut.sent++
			if ran {
				cut.ran++
			}
		})
	}
}

// sendOrder sends one order on its own connection and reports whether it ran and ended without an answer.
func (d *deployment) sendOrder(i *instance, seen *observations, id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/orders/7", strings.NewReader("order "+id))
	if err != nil {
		return false
	}
	req.Host = "app.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "4000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		d.record.add("%s sent to %s: %d", id, i.name, resp.StatusCode)
	}
	if err == nil {
		return false
	}
	time.Sleep(2 * memoryWork)
	runs := seen.of(id)
	d.record.add("%s sent to %s ended without an answer (%v) and ran %d times", id, i.name, err, len(runs))
	return len(runs) > 0
}
