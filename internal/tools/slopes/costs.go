package main

import "time"

const (
	// measurementWindow is the length of a measurement.
	measurementWindow = 5 * time.Second
	// editWindow is the length of a measurement with edits. At the lowest rate it contains one edit.
	editWindow = 20 * time.Second
	// defaultInstances is the number of instances when another input is varied.
	defaultInstances = 16
	// defaultPools is the number of pools when another input is varied.
	defaultPools = 200
)

// costs holds the series of processor time, heap and control bytes against one input.
type costs [3]series

func newCosts(file, x string) *costs {
	return &costs{
		{file: "processor-by-" + file, x: x, y: "processor time per instance (cores)"},
		{file: "heap-by-" + file, x: x, y: "heap per instance (bytes)"},
		{file: "control-by-" + file, x: x, y: "control bytes per instance and second"},
	}
}

func (c *costs) add(x float64, s sample) {
	for i, y := range []float64{s.cores, s.heap, s.bytes} {
		c[i].points = append(c[i].points, point{x, y})
	}
}

// costsByInstances measures fleets of different numbers of instances.
func costsByInstances() ([]series, error) {
	c := newCosts("instances", "instances")
	for _, n := range []int{4, 16, 64, 128} {
		if err := c.addFleet(n, defaultPools, float64(n)); err != nil {
			return nil, err
		}
	}
	return c[:], nil
}

// costsByPools measures fleets with tables of different sizes.
func costsByPools() ([]series, error) {
	c := newCosts("pools", "pools, each with a route and 8 upstreams")
	for _, n := range []int{20, 200, 1000} {
		if err := c.addFleet(defaultInstances, n, float64(n)); err != nil {
			return nil, err
		}
	}
	return c[:], nil
}

// addFleet measures a new fleet of the given size and adds the result at x.
func (c *costs) addFleet(instances, pools int, x float64) error {
	f, err := newFleet(instances, pools)
	if err != nil {
		return err
	}
	defer f.stop()
	s, err := f.measure(measurementWindow, 0)
	c.add(x, s)
	return err
}

// costsByEdits measures one fleet at different rates of edits.
func costsByEdits() ([]series, error) {
	c := newCosts("edits", "configuration changes per second")
	f, err := newFleet(defaultInstances, defaultPools)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for _, edits := range []int{0, 1, 20} {
		s, err := f.measure(editWindow, edits)
		if err != nil {
			return nil, err
		}
		c.add(float64(edits)/editWindow.Seconds(), s)
		if err := f.waitConverged(); err != nil {
			return nil, err
		}
	}
	return c[:], nil
}
