// Command slopes measures how the costs of an instance grow with the number of
// instances, the size of the tables and the rate of edits. It also measures how
// the time to select an upstream grows with the size of the pool, and how memory
// grows with the number of claims held. It fits a least-squares line to each
// series, prints the points and the line, and writes one SVG plot for each series.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	dir := flag.String("dir", "docs/slopes", "directory of the plots")
	flag.Parse()
	if err := run(*dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var all []series
	for _, measure := range []func() ([]series, error){costsByInstances, costsByPools, costsByEdits, pickTimeByPoolSize, heapByClaims} {
		some, err := measure()
		if err != nil {
			return err
		}
		all = append(all, some...)
	}
	for _, s := range all {
		if err := s.plot(dir); err != nil {
			return err
		}
	}
	return writeReport(os.Stdout, all)
}
