package main

import (
	"runtime"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// sample holds the costs of one instance.
type sample struct {
	cores float64 // processor time per second
	heap  float64 // bytes
	bytes float64 // sent per second
}

// liveHeapBytes returns the size of the live heap. It collects twice because
// objects in a sync.Pool survive the first collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the user and system time of this process.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), err
}

// sent returns the control bytes that all instances have sent so far.
func (f *fleet) sent() (total uint64) {
	for _, x := range f.instances {
		total += x.node.Meter().Sent(peer.Control).Bytes
	}
	return total
}

// measure returns the mean costs of an instance over d, during which it makes the
// given number of edits at equal intervals, the first after half an interval.
func (f *fleet) measure(d time.Duration, edits int) (s sample, err error) {
	live := liveHeapBytes()
	n, start, sent := float64(len(f.instances)), time.Now(), f.sent()
	used, err := processorTime()
	if err != nil {
		return s, err
	}
	if err := f.editDuring(start, d, edits); err != nil {
		return s, err
	}
	now, err := processorTime()
	took := time.Since(start).Seconds()
	s.cores = (now - used).Seconds() / took / n
	s.bytes = float64(f.sent()-sent) / took / n
	s.heap = (float64(live) + float64(liveHeapBytes()) - 2*float64(f.baseHeap)) / 2 / n // mean of the values at start and end
	return s, err
}

// editDuring makes the edits and returns when d has passed since start.
func (f *fleet) editDuring(start time.Time, d time.Duration, edits int) error {
	for i := range edits {
		time.Sleep(time.Until(start.Add(d * time.Duration(2*i+1) / time.Duration(2*edits))))
		if err := f.edit(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(start.Add(d)))
	return nil
}
