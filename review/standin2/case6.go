package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// doubleSignal sends SIGTERM to an instance twice within its grace while requests run that were sent before the first.
func doubleSignal(d *deployment, trouble bool) (int, error) {
	d.putConfig(1, []string{"orders"}, route{"order", "/order/", "unsafe", "orders", 4 * time.Second, 2})
	s, err := d.startServer("i-orders-1", "orders", 16)
	if err != nil {
		return 0, err
	}
	if err := d.addInstances(1); err != nil {
		return 0, err
	}
	if err := d.startAll(); err != nil {
		return 0, err
	}
	in := d.instances[0]
	time.Sleep(4 * time.Second)
	const requests = 8
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = d.record.ask(in.front, "POST", fmt.Sprintf("request-%d", i), "/order/2000", "order", 4*time.Second)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	d.signal(in, syscall.SIGTERM)
	time.Sleep(700 * time.Millisecond)
	if trouble {
		d.signal(in, syscall.SIGTERM)
	}
	wg.Wait()
	broken := 0
	for i, a := range answers {
		if s.ran(fmt.Sprintf("request-%d", i)) > 0 && a.status == 0 {
			broken++
		}
	}
	return broken, nil
}
