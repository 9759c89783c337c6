package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"
)

// part is one measurement at several sizes.
type part struct {
	name string
	// of is what the sizes count.
	of    string
	sizes []int
	// plan is the size of the plan.
	plan    int
	measure func(n int) ([]figure, error)
}

// figure is one measured value. A part gives the same figures at every size.
type figure struct {
	name  string
	unit  string
	value float64
}

// print measures p and prints a row for each figure: the values at all sizes,
// the slope of the line through them by least squares, and its value at the
// size of the plan.
func (p *part) print(w io.Writer) error {
	rows := [][]figure{}
	for _, n := range p.sizes {
		f, err := p.measure(n)
		if err != nil {
			return err
		}
		rows = append(rows, f)
	}
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tunit\t", p.name)
	for _, n := range p.sizes {
		fmt.Fprintf(t, "%d %s\t", n, p.of)
	}
	fmt.Fprintf(t, "slope for 1000\tat %d\t\n", p.plan)
	for i, f := range rows[0] {
		p.printFigure(t, f, column(rows, i))
	}
	fmt.Fprintln(t)
	return t.Flush()
}

func (p *part) printFigure(w io.Writer, f figure, values []float64) {
	const thousand = 1000
	slope, start := line(p.sizes, values)
	fmt.Fprintf(w, "%s\t%s\t", f.name, f.unit)
	for _, v := range values {
		fmt.Fprintf(w, "%.4g\t", v)
	}
	fmt.Fprintf(w, "%.4g\t%.4g\t\n", slope*thousand, start+slope*float64(p.plan))
}

func column(rows [][]figure, i int) []float64 {
	s := []float64{}
	for _, r := range rows {
		s = append(s, r[i].value)
	}
	return s
}

// line returns the slope and the start of the line through the values by least
// squares.
func line(sizes []int, values []float64) (slope, start float64) {
	n := float64(len(sizes))
	sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0
	for i, v := range values {
		x := float64(sizes[i])
		sx += x
		sy += v
		sxx += x * x
		sxy += x * v
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

const (
	// runs is how often a time is taken; the median counts.
	runs = 5
	// shortest is how long one run lasts at least.
	shortest = 50 * time.Millisecond
	kib      = 1 << 10
	mib      = 1 << 20
)

// timeOf returns the median time of one call of f.
func timeOf(f func()) time.Duration {
	s := []time.Duration{}
	for range runs {
		s = append(s, timeOnce(f))
	}
	slices.Sort(s)
	return s[runs/2]
}

func timeOnce(f func()) time.Duration {
	begin := time.Now()
	calls := 0
	for time.Since(begin) < shortest {
		f()
		calls++
	}
	return time.Since(begin) / time.Duration(calls)
}

// heapOf returns the bytes that the value of f keeps alive.
func heapOf(f func() any) float64 {
	before := heap()
	v := f()
	after := heap()
	runtime.KeepAlive(v)
	// What f refers to was there before and has to be there after.
	runtime.KeepAlive(f)
	return float64(after) - float64(before)
}

func heap() uint64 {
	// Twice, so that finalizers have run.
	runtime.GC()
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func microseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
