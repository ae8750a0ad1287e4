package soak

// A campaign: runs over many seeds, some at a time, the shortening of what fails, and the table.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"oakthread/internal/lab"
)

// Options of a campaign.
type Options struct {
	Seed      uint64 // the first
	Seeds     int
	Processes int
	Jobs      int    // runs at a time
	Only      []Kind // empty: all kinds
	Replay    *Schedule
	Shorten   bool // what fails is run again with less, to the shortest that fails
	Dir       string
	Program   lab.Program
	Progress  func(format string, args ...any)
}

// Limits of a campaign on this machine.
const (
	maxProcesses           = 40
	maxConcurrentProcesses = 240                // processes of all runs together
	maxMemoryBytes         = 12 << 30           // bytes
	processMemoryBytes     = 48 << 20           // bytes that a process may come to
	shortenTime            = 4 * time.Minute    // for all that fails
	hardTime               = 90 * time.Second   // for one run
	seedsQuick             = 3                  // of the quick form
	processQuick           = 10                 // and its processes
	tableColumn            = 2                  // spaces between columns of the table
	progressEvery          = 10                 // runs between two lines of progress
	maxViolationsPrinted   = 12                 // of one run
	jsonIndent             = " "                // of the report
	reportName             = "soak.json"        // in the campaign's folder
	scheduleName           = "shortest.json"    // of what fails, in the run's folder
	runFolder              = "seed-%d"          // of a run
	shorterFolder          = "seed-%d-short-%d" // of a shortened one
)

// ErrTooLarge says that a campaign would take more processes or memory than it may.
var ErrTooLarge = errors.New("soak: too many processes at a time")

// Campaign is what came of all runs.
type Campaign struct {
	Runs  []Result            `json:"runs"`
	Pairs map[string]*Pair    `json:"pairs"`
	Short map[uint64]Schedule `json:"short,omitempty"` // the shortest schedules that fail, by seed
}

// Pair counts the runs in which two faults overlapped.
type Pair struct {
	Played, Failed int
}

// Failed are the runs with violations, inconclusive ones left out.
func (c *Campaign) Failed() (out []Result) {
	for _, result := range c.Runs {
		if len(result.Violations) > 0 && !result.Inconclusive() {
			out = append(out, result)
		}
	}
	return out
}

// Quick are the options of the short form: three seeds of ten processes.
func (o Options) Quick() Options {
	o.Seeds, o.Processes, o.Shorten = seedsQuick, processQuick, false
	return o
}

// check refuses what the machine is not to bear.
func (o Options) check() error {
	switch {
	case o.Processes < 1 || o.Processes > maxProcesses || o.Seeds < 1 || o.Jobs < 1:
		return fmt.Errorf("%w: 1 to %d processes, one seed and one job at the least", ErrTooLarge, maxProcesses)
	case o.Processes*o.Jobs > maxConcurrentProcesses || o.Processes*o.Jobs*processMemoryBytes > maxMemoryBytes:
		return fmt.Errorf("%w: %d, and %d may run", ErrTooLarge, o.Processes*o.Jobs,
			min(maxConcurrentProcesses, maxMemoryBytes/processMemoryBytes))
	}
	return nil
}

// Play runs a campaign. The error reports runs that could not be made; violations are in the
// campaign.
func Play(ctx context.Context, options Options) (*Campaign, error) {
	if options.Jobs == 0 {
		options.Jobs = max(1, runtime.NumCPU()/2)
	}
	if err := options.check(); err != nil {
		return nil, err
	}
	schedules := []Schedule{}
	if options.Replay != nil {
		schedules = append(schedules, *options.Replay)
	}
	for i := range uint64(options.Seeds) {
		if options.Replay == nil {
			schedules = append(schedules, Draw(options.Seed+i, options.Processes, options.Only))
		}
	}
	c := &Campaign{Pairs: map[string]*Pair{}, Short: map[uint64]Schedule{}}
	err := c.playAll(ctx, options, schedules)
	if options.Shorten {
		c.shorten(ctx, options)
	}
	return c, errors.Join(err, c.write(filepath.Join(options.Dir, reportName)))
}

// playAll plays schedules, some at a time.
func (c *Campaign) playAll(ctx context.Context, options Options, schedules []Schedule) error {
	var mu sync.Mutex
	var failed error
	var runs sync.WaitGroup
	places := make(chan struct{}, options.Jobs)
	for _, schedule := range schedules {
		places <- struct{}{}
		runs.Go(func() {
			defer func() { <-places }()
			one, cancel := context.WithTimeout(ctx, hardTime)
			defer cancel()
			result, err := Run(one, schedule, filepath.Join(options.Dir, fmt.Sprintf(runFolder, schedule.Seed)),
				options.Program)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("seed %d: %w", schedule.Seed, err))
			}
			c.add(result)
			reportProgress(options, result, len(c.Runs), len(schedules))
		})
	}
	runs.Wait()
	return failed
}

// reportProgress writes progress.
func reportProgress(options Options, result Result, done, all int) {
	if options.Progress == nil {
		return
	}
	if result.Inconclusive() {
		options.Progress("seed %d: inconclusive, the laboratory stood still for %v (%d violations not counted)",
			result.Schedule.Seed, result.Stalled, len(result.Violations))
	} else if len(result.Violations) > 0 {
		options.Progress("seed %d: %d violations, in %s", result.Schedule.Seed, len(result.Violations), result.Dir)
		for _, violation := range result.Violations[:min(len(result.Violations), maxViolationsPrinted)] {
			options.Progress("  %s", violation)
		}
	}
	if done%progressEvery == 0 || done == all {
		options.Progress("%d of %d runs", done, all)
	}
}

// add takes a run into the campaign and counts its pairs of faults.
func (c *Campaign) add(result Result) {
	c.Runs = append(c.Runs, result)
	if result.Inconclusive() {
		return
	}
	for _, name := range result.Schedule.Pairs() {
		if c.Pairs[name] == nil {
			c.Pairs[name] = &Pair{}
		}
		c.Pairs[name].Played++
		if len(result.Violations) > 0 {
			c.Pairs[name].Failed++
		}
	}
}

// shorten runs what failed again with less, as far as it still breaks one of the same rules.
func (c *Campaign) shorten(ctx context.Context, options Options) {
	within, cancel := context.WithTimeout(ctx, shortenTime)
	defer cancel()
	for _, result := range c.Failed() {
		runs := 0
		short := result.Schedule.Shorten(func(schedule Schedule) bool {
			if within.Err() != nil {
				return false
			}
			runs++
			again, err := Run(within, schedule, filepath.Join(options.Dir,
				fmt.Sprintf(shorterFolder, schedule.Seed, runs)), options.Program)
			return err == nil && !again.Inconclusive() && sharesRule(result.Violations, again.Violations)
		})
		c.Short[result.Schedule.Seed] = short
		path := filepath.Join(result.Dir, scheduleName)
		if err := short.Write(path); err == nil && options.Progress != nil {
			options.Progress("seed %d: shortest that fails, of %d runs: %v; play it with testbed run soak --replay %s",
				result.Schedule.Seed, runs, short.Faults, path)
		}
	}
}

func sharesRule(a, b []Violation) bool {
	return slices.ContainsFunc(a, func(x Violation) bool {
		return slices.ContainsFunc(b, func(y Violation) bool { return x.Rule == y.Rule })
	})
}

func (c *Campaign) write(path string) error {
	raw, err := json.MarshalIndent(c, "", jsonIndent)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Print writes the table: by pair of faults how often it was played and failed, then the sums by
// rule.
func (c *Campaign) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, tableColumn, ' ', 0)
	fmt.Fprintln(t, "troubles\tplayed\tfailed")
	names := make([]string, 0, len(c.Pairs))
	for name := range c.Pairs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if d := c.Pairs[b].Failed - c.Pairs[a].Failed; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		fmt.Fprintf(t, "%s\t%d\t%d\n", name, c.Pairs[name].Played, c.Pairs[name].Failed)
	}
	_ = t.Flush()
	inconclusive, requests, served := 0, 0, 0
	rules := map[Rule]int{}
	for _, result := range c.Runs {
		requests, served = requests+result.Requests, served+result.Served
		if result.Inconclusive() {
			inconclusive++
			continue
		}
		for _, violation := range result.Violations {
			rules[violation.Rule]++
		}
	}
	fmt.Fprintf(out, "%d runs, %d with violations, %d inconclusive; %d requests, %d served; %d pairs of troubles\n",
		len(c.Runs), len(c.Failed()),
		inconclusive, requests, served, len(names))
	for rule, n := range rules {
		fmt.Fprintf(out, "violations of %q: %d\n", rule, n)
	}
}
