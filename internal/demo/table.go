package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/internal/load"
)

// tableWriter runs the scenario and prints a line of the table at each interval.
type tableWriter struct {
	cfg        Config
	deployment *deployment
	recorder   *load.Recorder
	begin      time.Time
	last       load.Summary
	lines      int
	turns      int // edits made so far; after an odd number the failure domain is out
}

// headerEvery is the number of lines after which the header is printed again.
const headerEvery = 20

// run alternates the failure domain between in and out until ctx or the time of
// the run ends. A run with a time takes the failure domain out and back at least
// once, however slow the machine is.
func (t *tableWriter) run(ctx context.Context) error {
	length, interval := t.cfg.phase()
	t.begin = time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	phases := time.NewTicker(length)
	defer phases.Stop()
	var end <-chan time.Time
	if t.cfg.Duration > 0 {
		end = time.After(t.cfg.Duration)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.line(ctx)
		case <-phases.C:
			if err := t.turn(ctx); err != nil {
				return err
			}
		case <-end:
			for t.turns < 2 || t.out() {
				if err := t.turn(ctx); err != nil || ctx.Err() != nil {
					return err
				}
			}
			return nil
		}
	}
}

// out reports whether the second failure domain is out of service.
func (t *tableWriter) out() bool { return t.turns%2 == 1 }

// turn takes the second failure domain out or brings it back, and reports when
// the edit is in force on every entry.
func (t *tableWriter) turn(ctx context.Context) error {
	var list []string
	text := "is back in service"
	t.turns++
	if t.out() {
		list, text = []string{domains[1]}, "is taken out of service"
	}
	begin := time.Now()
	revision, err := t.deployment.setOut(ctx, list...)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	for t.deployment.lowestRevision(ctx) < revision {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(5 * time.Millisecond):
		}
	}
	fmt.Fprintf(t.cfg.Out, "---- %s %s: revision %d in force on all entries after %v\n", domains[1], text, revision, time.Since(begin).Round(time.Millisecond))
	return nil
}

func (t *tableWriter) line(ctx context.Context) {
	if t.lines%headerEvery == 0 {
		fmt.Fprintf(t.cfg.Out, "%7s %9s %6s %9s %9s %16s %16s %8s\n", "time", "succeeded", "bad", "p50", "p99", domains[0]+" req", domains[1]+" req", "revision")
	}
	t.lines++
	s := t.recorder.Summary()
	mark := ""
	if t.out() {
		mark = " (out)"
	}
	fmt.Fprintf(t.cfg.Out, "%7s %9d %6d %9v %9v %16d %16s %8d\n", time.Since(t.begin).Round(100*time.Millisecond),
		s.Succeeded, s.Bad(), s.P50.Round(10*time.Microsecond), s.P99.Round(10*time.Microsecond),
		t.since(s, domains[0]), fmt.Sprint(t.since(s, domains[1]), mark), t.deployment.lowestRevision(ctx))
	t.last = s
}

// since returns the answers from a failure domain since the last line.
func (t *tableWriter) since(s load.Summary, domain string) uint64 {
	var n uint64
	for id, count := range s.Upstreams {
		if strings.HasPrefix(id, domain+"-") {
			n += count - t.last.Upstreams[id]
		}
	}
	return n
}
