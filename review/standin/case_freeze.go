//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeRounds is the number of servers that are replaced, one each freezeRoundTime. With trouble, a machine stands
	// still meanwhile.
	freezeRounds    = 110
	freezeRoundTime = 850 * time.Millisecond
	// joinAt is when, in a round, the next new server starts and an old one is taken off the list.
	joinAt = 400 * time.Millisecond
	// freezeTime is how long a machine stands still.
	freezeTime = 500 * time.Millisecond
	// drainTime is how long a server that reports draining goes on serving.
	drainTime = 12 * time.Second
	// drainBound is the site's bound.
	drainBound = 2 * time.Second
	// freezeMachines and freezeServers are the numbers of instances and of servers.
	freezeMachines, freezeServers = 14, 12
)

// frozen is when a machine last woke.
type frozen struct {
	mu   sync.Mutex
	woke map[string]time.Time // a time in the future while it stands still
}

// inTouch reports whether the machine ran all the while in the contact time before.
func (f *frozen) inTouch(name string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Sub(f.woke[name]) > contact
}

func (f *frozen) set(name string, woke time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.woke[name] = woke
}

// runFreezeCase replaces the servers of a service one after the other. With trouble, one machine stands still for
// freezeTime at each replacement. No machine in touch may send a request to a server later than drainBound after the store
// has accepted that the server is draining.
func runFreezeCase(d *deployment, trouble bool) (broken int, err error) {
	seen := newObservations()
	d.store.write("op/config", staleCaseConfig(3, "dispatch"))
	zones := []string{"north-a", "north-b"}
	var servers []*server
	addServer := func(n int) error {
		s, err := startServer(fmt.Sprintf("i-%03d", n), "dispatch", zones[n%len(zones)], seen, d.record)
		if err == nil {
			d.store.write("servers/"+s.id, s.entry("ready"))
			servers = append(servers, s)
		}
		return err
	}
	for n := range freezeServers + 1 { // the first new one starts before the first old one drains
		if err := addServer(n); err != nil {
			return 0, err
		}
	}
	var places []place
	for n := range freezeMachines {
		places = append(places, place{zones[n%len(zones)], "north"})
	}
	if err := d.addInstances(places); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second)
	drains := &drains{since: map[string]time.Time{}}
	still := &frozen{woke: map[string]time.Time{}}
	end := time.Now().Add(freezeRounds * freezeRoundTime)
	var senders sync.WaitGroup
	served := 0
	var mu sync.Mutex
	for _, i := range d.instances {
		senders.Go(func() {
			b, s := sendUntil(d, i, seen, drains, still, end)
			mu.Lock()
			broken, served = broken+b, served+s
			mu.Unlock()
		})
	}
	machine := 0
	for round := range freezeRounds {
		start := time.Now()
		for d.instances[machine%freezeMachines].name == d.reader("north") {
			machine++
		}
		i := d.instances[machine%freezeMachines]
		machine++
		if trouble {
			still.set(i.name, time.Now().Add(time.Hour))
			d.signal(i, syscall.SIGSTOP)
		}
		time.Sleep(10 * time.Millisecond)
		old := servers[round]
		d.store.write("servers/"+old.id, old.entry("draining"))
		drains.begin(old.id)
		d.record.add("server %s is draining", old.id)
		time.Sleep(time.Until(start.Add(joinAt)))
		if err := addServer(freezeServers + 1 + round); err != nil {
			return broken, err
		}
		if gone := round - int(drainTime/freezeRoundTime); gone >= 0 {
			d.store.erase("servers/" + servers[gone].id)
		}
		time.Sleep(time.Until(start.Add(freezeTime)))
		if trouble {
			d.signal(i, syscall.SIGCONT)
			still.set(i.name, time.Now())
		}
		time.Sleep(time.Until(start.Add(freezeRoundTime)))
	}
	senders.Wait()
	if served < freezeRounds*20 {
		return broken, fmt.Errorf("%w: only %d requests were served", errCannotRun, served)
	}
	return broken, nil
}

// drains is when the store accepted that servers are draining.
type drains struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (d *drains) begin(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.since[server] = time.Now()
}

// at returns how long a server had been draining at a time.
func (d *drains) at(server string, at time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.since[server]
	return at.Sub(since), ok
}

// sendUntil sends requests to one instance and checks where they ran.
func sendUntil(d *deployment, i *instance, seen *observations, drains *drains, still *frozen, end time.Time) (broken, served int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d", i.name, n)
		sent := time.Now()
		if sendOrder(d, client, i, id) == http.StatusOK {
			served++
		}
		for _, r := range seen.of(id) {
			age, draining := drains.at(r.server, r.at)
			if draining && age > drainBound && still.inTouch(i.name, sent) {
				broken++
				d.record.add("BROKEN: %s reached server %s from %s %.1f s after the store had accepted that it is draining", id, r.server, i.name, age.Seconds())
			}
		}
		time.Sleep(80 * time.Millisecond)
	}
	return broken, served
}

// reader returns the name of the instance that reads the store for a region.
func (d *deployment) reader(region string) string {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var r struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(d.store.items["turmericsail/readers/"+region+"/0"].Value, &r)
	name, _, _ := strings.Cut(r.ID, "/")
	return name
}
