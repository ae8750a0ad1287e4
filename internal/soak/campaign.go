package soak

// A campaign: concurrent runs over many seeds, shortening of failing schedules, and the table.

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

// Options configure a campaign.
type Options struct {
	Seed      uint64 // the first
	Seeds     int
	Processes int
	Jobs      int    // concurrent runs; 0: half the CPUs, at least 1
	Kinds     []Kind // empty: all kinds
	Replay    *Schedule
	Shorten   bool // shorten failing schedules by running them again with fewer and shorter faults
	Dir       string
	Program   lab.Program
	Progress  func(format string, args ...any)
}

// Limits of a campaign on this machine.
const (
	maxProcesses           = 40
	maxConcurrentProcesses = 240                // in all concurrent runs together
	maxMemoryBytes         = 12 << 30           // bytes
	processMemoryBytes     = 48 << 20           // bytes budgeted for one process
	shortenTimeout         = 4 * time.Minute    // for all failing schedules together
	runTimeout             = 90 * time.Second   // for one run
	quickSeeds             = 3                  // of Options.Quick
	quickProcesses         = 10                 // of Options.Quick
	tableColumn            = 2                  // spaces between columns of the table
	progressEvery          = 10                 // runs between two progress lines
	maxViolationsPrinted   = 12                 // of one run
	jsonIndent             = " "                // of the report
	reportName             = "soak.json"        // in the campaign's directory
	scheduleName           = "shortest.json"    // the shortened schedule, in the run's directory
	runFolder              = "seed-%d"          // of a run
	shorterFolder          = "seed-%d-short-%d" // of a run of a shortened schedule
)

// ErrTooLarge states that the options of a campaign exceed its limits of processes or memory.
var ErrTooLarge = errors.New("soak: too many processes at a time")

// Campaign holds the results of all runs.
type Campaign struct {
	Runs  []Result            `json:"runs"`
	Pairs map[string]*Pair    `json:"pairs"`
	Short map[uint64]Schedule `json:"short,omitempty"` // shortened failing schedules, by seed
}

// Pair counts the runs in which two faults overlapped.
type Pair struct {
	Played, Failed int
}

// Failed returns the runs with violations, without the inconclusive ones.
func (c *Campaign) Failed() (out []Result) {
	for _, result := range c.Runs {
		if len(result.Violations) > 0 && !result.Inconclusive() {
			out = append(out, result)
		}
	}
	return out
}

// Quick returns the options of a short campaign: three seeds of ten processes, without shortening.
func (o Options) Quick() Options {
	o.Seeds, o.Processes, o.Shorten = quickSeeds, quickProcesses, false
	return o
}

// check rejects options that exceed the limits of a campaign.
func (o Options) check() error {
	switch {
	case o.Processes < 1 || o.Processes > maxProcesses || o.Seeds < 1 || o.Jobs < 1:
		return fmt.Errorf("%w: need 1 to %d processes, at least one seed and one job", ErrTooLarge, maxProcesses)
	case o.Processes*o.Jobs > maxConcurrentProcesses || o.Processes*o.Jobs*processMemoryBytes > maxMemoryBytes:
		return fmt.Errorf("%w: %d requested, at most %d allowed", ErrTooLarge, o.Processes*o.Jobs,
			min(maxConcurrentProcesses, maxMemoryBytes/processMemoryBytes))
	}
	return nil
}

// RunCampaign runs a campaign. The error reports invalid options, runs that could not be carried
// out and a report that could not be written; violations are in the campaign.
func RunCampaign(ctx context.Context, options Options) (*Campaign, error) {
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
			schedules = append(schedules, Draw(options.Seed+i, options.Processes, options.Kinds))
		}
	}
	c := &Campaign{Pairs: map[string]*Pair{}, Short: map[uint64]Schedule{}}
	err := c.playAll(ctx, options, schedules)
	if options.Shorten {
		c.shorten(ctx, options)
	}
	return c, errors.Join(err, c.write(filepath.Join(options.Dir, reportName)))
}

// playAll runs the schedules, at most options.Jobs at a time.
func (c *Campaign) playAll(ctx context.Context, options Options, schedules []Schedule) error {
	var mu sync.Mutex
	var failed error
	var runs sync.WaitGroup
	slots := make(chan struct{}, options.Jobs)
	for _, schedule := range schedules {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			runCtx, cancel := context.WithTimeout(ctx, runTimeout)
			defer cancel()
			result, err := Run(runCtx, schedule, filepath.Join(options.Dir, fmt.Sprintf(runFolder, schedule.Seed)),
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

// reportProgress reports the violations of a run, and the number of runs done from time to time.
func reportProgress(options Options, result Result, done, all int) {
	if options.Progress == nil {
		return
	}
	if result.Inconclusive() {
		options.Progress("seed %d: inconclusive, the testbed process stalled for %v (%d violations not counted)",
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

// add adds the result of a run and counts its pairs of faults, unless it is inconclusive.
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

// shorten shortens each failing schedule as far as it still violates one of the same rules, within
// shortenTimeout.
func (c *Campaign) shorten(ctx context.Context, options Options) {
	shortenCtx, cancel := context.WithTimeout(ctx, shortenTimeout)
	defer cancel()
	for _, result := range c.Failed() {
		runs := 0
		short := result.Schedule.Shorten(func(schedule Schedule) bool {
			if shortenCtx.Err() != nil {
				return false
			}
			runs++
			again, err := Run(shortenCtx, schedule, filepath.Join(options.Dir,
				fmt.Sprintf(shorterFolder, schedule.Seed, runs)), options.Program)
			return err == nil && !again.Inconclusive() && sharesRule(result.Violations, again.Violations)
		})
		c.Short[result.Schedule.Seed] = short
		path := filepath.Join(result.Dir, scheduleName)
		if err := short.Write(path); err == nil && options.Progress != nil {
			options.Progress(
				"seed %d: shortest failing schedule after %d runs: %v; replay it with testbed run soak --replay %s",
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

// Print writes a table with the number of runs and of failed runs of each pair of faults, then the
// totals and the violations of each rule.
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
