package lab

// The experiment kept-size: the restart of kept-list in virtual time, for several fleet sizes.

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// callsPerWorker is the load of a worker in calls per second. It is high enough that, with random
// variation alone, the busiest second of a worker stays near its mean.
const callsPerWorker = 60

// CachedListSizes runs the experiment.
func CachedListSizes(ctx context.Context, options Options) (*Report, error) {
	sizes := []int{50, 100, 200, 400} // dispatchers, with six workers for every ten; 1,000 take over five minutes
	if options.Quick {
		sizes = []int{50, 100}
	}
	rep := &Report{
		Name: "kept-size", Seed: options.Seed, Arms: []string{"naive", "ours"},
		Note: fmt.Sprintf("virtual time, %d to %d dispatchers, 6 boxes to 10 of them, %d calls/s a box; roster and "+
			"decide are the real code, core and sockets are not",
			sizes[0], sizes[len(sizes)-1], callsPerWorker),
	}
	var points [2][]cachedListSimResult
	for _, n := range sizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		options.Log("%d dispatchers", n)
		workers := n * 6 / 10
		var both [2]*cachedListSimResult
		for arm, fresh := range []bool{true, false} {
			result, err := cachedListSim(PlannerFigures(), n, workers, callsPerWorker*float64(workers), fresh,
				options.Seed)
			if err != nil {
				return nil, err
			}
			both[arm] = result
			points[arm] = append(points[arm], *result)
		}
		name := func(s string) string { return fmt.Sprintf("%d dispatchers, %d boxes: %s", n, workers, s) }
		row := func(s, unit string, of func(*cachedListSimResult) float64) {
			rep.Row(name(s), unit, of(both[0]), of(both[1]))
		}
		row("peak second of a box", "times its share", func(result *cachedListSimResult) float64 { return result.peak })
		row("calls never served", "%", func(result *cachedListSimResult) float64 { return 100 * result.unserved })
		row("worth in time", "of that asked", func(result *cachedListSimResult) float64 { return result.service })
		row("sent late to draining boxes", "",
			func(result *cachedListSimResult) float64 { return float64(result.late) })
		ours := both[1]
		rep.AtMost(name("path-book run twice"), float64(ours.twice), 0)
		rep.AtMost(name("boxes pushed over"), float64(ours.fallen), 0)
		rep.AtMost(name("sent late to draining boxes"), float64(ours.late), 0)
		rep.AtMost(name("calls never served, %"), 100*ours.unserved, 1)
	}
	if options.Plots != "" {
		if err := plotCachedListSizes(options.Plots, sizes, points); err != nil {
			return nil, err
		}
	}
	return rep, nil
}

// plotCachedListSizes plots the peak and the share of unserved calls against the number of
// dispatchers.
func plotCachedListSizes(dir string, sizes []int, points [2][]cachedListSimResult) error {
	for _, p := range []struct {
		file, title, y string
		of             func(cachedListSimResult) float64
	}{
		{
			"kept-size-peak.svg", "Restart from a kept list: busiest second of any box", "times its mean share",
			func(r cachedListSimResult) float64 { return r.peak },
		},
		{
			"kept-size-unserved.svg", "Restart from a kept list: calls never served", "%",
			func(r cachedListSimResult) float64 { return 100 * r.unserved },
		},
	} {
		lines := make([]plotter.XYs, len(points))
		for arm := range points {
			for i, n := range sizes {
				lines[arm] = append(lines[arm], plotter.XY{X: float64(n), Y: p.of(points[arm][i])})
			}
		}
		chart := lineChart{
			file: p.file, title: p.title, xLabel: "dispatchers (6 boxes to 10)", yLabel: p.y,
			names: []string{"list taken as if fresh", "ours"}, lines: lines, logX: true,
		}
		if err := chart.draw(dir); err != nil {
			return err
		}
	}
	return nil
}

// lineChart is a line plot; its first line is dashed.
type lineChart struct {
	file, title    string
	xLabel, yLabel string
	names          []string // of the lines
	lines          []plotter.XYs
	logX           bool // x has a logarithmic scale
}

// draw writes the chart to its file in dir.
func (c lineChart) draw(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	fig := plot.New()
	fig.Title.Text, fig.X.Label.Text, fig.Y.Label.Text = c.title, c.xLabel, c.yLabel
	if c.logX {
		fig.X.Scale, fig.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	}
	fig.Y.Min = 0
	fig.Legend.Top = true
	fig.Add(plotter.NewGrid())
	for i, name := range c.names {
		line, dots, err := plotter.NewLinePoints(c.lines[i])
		if err != nil {
			return fmt.Errorf("plot %s: %w", c.file, err)
		}
		if i == 0 {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		fig.Add(line, dots)
		fig.Legend.Add(name, line, dots)
	}
	if err := fig.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.file)); err != nil {
		return fmt.Errorf("plot %s: %w", c.file, err)
	}
	return nil
}
