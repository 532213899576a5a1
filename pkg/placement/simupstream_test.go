package placement

import (
	"container/heap"
	"time"
)

// event is a function to run at a given time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// clock runs events in the order of virtual time.
type clock struct {
	at     time.Duration
	seq    int
	events events
}

var simEpoch = time.Unix(1e9, 0)

func (c *clock) now() time.Time { return simEpoch.Add(c.at) }

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.at + d, c.seq, run})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.at = e.at
		e.run()
	}
}

// job is a request at an upstream.
type job struct {
	remaining time.Duration // remaining service time at full speed
	updatedAt time.Duration // when remaining was computed
	began     time.Duration
	running   bool
	version   int
	end       func(ok bool)
}

// simUpstream runs jobs on its slots and queues the rest.
type simUpstream struct {
	clock     *clock
	location  location
	id        string
	slots     int
	jobs      []*job // running first, then waiting in order of arrival
	slowUntil time.Duration
	dead      bool
	incoming  int // requests sent to this upstream whose end the entry has not seen
	busy      time.Duration
	lastStart time.Duration
	maxJobs   int
}

func (u *simUpstream) speed() float64 {
	if u.clock.at < u.slowUntil {
		return 0.1
	}
	return 1
}

func (u *simUpstream) arrive(j *job) {
	if u.dead {
		j.end(false)
		return
	}
	u.jobs = append(u.jobs, j)
	u.maxJobs = max(u.maxJobs, len(u.jobs))
	u.start()
}

func (u *simUpstream) start() {
	for i, j := range u.jobs {
		if i >= u.slots || j.running {
			continue
		}
		j.running, j.updatedAt, j.began = true, u.clock.at, u.clock.at
		u.lastStart = u.clock.at
		u.schedule(j)
	}
}

func (u *simUpstream) schedule(j *job) {
	j.version++
	v := j.version
	u.clock.after(time.Duration(float64(j.remaining)/u.speed()), func() {
		if j.version == v {
			u.remove(j)
			j.end(true)
		}
	})
}

// remove ends a job and reports whether it was present.
func (u *simUpstream) remove(j *job) bool {
	for i, x := range u.jobs {
		if x == j {
			u.jobs = append(u.jobs[:i], u.jobs[i+1:]...)
			j.version++
			if j.running {
				u.busy += u.clock.at - j.began
			}
			u.start()
			return true
		}
	}
	return false
}

// slow makes the upstream ten times slower for the duration d.
func (u *simUpstream) slow(d time.Duration) {
	u.rescale(func() { u.slowUntil = u.clock.at + d })
	u.clock.after(d, func() { u.rescale(func() {}) })
}

func (u *simUpstream) rescale(change func()) {
	before := u.speed()
	if u.clock.at == u.slowUntil {
		before = 0.1
	}
	for _, j := range u.jobs {
		if j.running {
			j.remaining -= time.Duration(float64(u.clock.at-j.updatedAt) * before)
			j.updatedAt = u.clock.at
		}
	}
	change()
	for _, j := range u.jobs {
		if j.running {
			u.schedule(j)
		}
	}
}

// kill stops the upstream and fails all of its jobs.
func (u *simUpstream) kill() {
	u.dead = true
	jobs := u.jobs
	u.jobs = nil
	for _, j := range jobs {
		j.version++
		j.end(false)
	}
}
