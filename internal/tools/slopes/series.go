package main

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"
)

type point struct{ x, y float64 }

// series holds the measured values of one quantity y against one input x.
type series struct {
	file   string // name of the plot file without extension
	x, y   string // axis labels
	points []point
}

// fit returns the least-squares line through the points, which must differ in x.
func fit(points []point) (slope, intercept float64) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / n
		meanY += p.y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.x - meanX) * (p.x - meanX)
		xy += (p.x - meanX) * (p.y - meanY)
	}
	slope = xy / xx
	return slope, meanY - slope*meanX
}

const header = `Several instances share one process, together with the stand-in store and an
in-memory network without sockets. Processor time and heap of the whole process
are divided by the number of instances, so they include store and network.
Instances run membership and configuration only: no requests, entry, brokers or
probes. Control bytes are those sent to other instances, not to the store, as a
mean over the instances, without the control byte budget. Unless varied, there are
%d instances and %d pools, each with a route and %d upstreams, and no changes.
Lines are fitted to the points shown and hold for no other range. GOMAXPROCS is %d.

`

func writeReport(w io.Writer, all []series) error {
	fmt.Fprintf(w, header, defaultInstances, defaultPools, upstreamsPerPool, runtime.GOMAXPROCS(0))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "measured\tagainst\tpoints\tslope\tintercept")
	for _, s := range all {
		slope, intercept := fit(s.points)
		fmt.Fprintf(t, "%s\t%s\t%s\t%.3g\t%.3g\n", s.y, s.x, s.formatPoints(), slope, intercept)
	}
	return t.Flush()
}

func (s series) formatPoints() string {
	text := make([]string, len(s.points))
	for i, p := range s.points {
		text[i] = fmt.Sprintf("%.7g: %.4g", p.x, p.y)
	}
	return strings.Join(text, ", ")
}
