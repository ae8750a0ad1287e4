package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"oakthread/internal/cli"
	"oakthread/internal/lab"
	"oakthread/internal/soak"
)

// soakCommand returns the command that runs real processes under random faults drawn from seeds.
func soakCommand() *cobra.Command {
	var o soak.Options
	var kinds, replay string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Real processes under overlapping troubles drawn from seeds, checked against the platform's rules",
		Args:  cli.Args(cobra.NoArgs),
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&o.Seeds, "seeds", 20, "how many seeds")
	c.Flags().IntVar(&o.Processes, "processes", 10, "dispatcher processes of a run, 40 at most")
	c.Flags().IntVar(&o.Jobs, "jobs", 0, "runs at a time; 0: half of the cores")
	c.Flags().BoolVar(&o.Shorten, "shorten", true, "run what fails again with less, to the shortest that fails")
	quick := c.Flags().Bool("quick", false, "three seeds, under 60 s")
	c.Flags().StringVar(&kinds, "troubles", "", "only these troubles, parted by commas")
	c.Flags().StringVar(&replay, "replay", "", "play the schedule in this file")
	c.Flags().StringVar(&o.Dir, "dir", "", "folder for the runs' files, left there; empty: one of its own")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		if o.Kinds, err = soak.ParseKinds(kinds); err != nil {
			return err
		}
		if *quick {
			o = o.Quick()
		}
		if replay != "" {
			s, err := soak.ReadSchedule(replay)
			if err != nil {
				return err
			}
			o.Replay, o.Processes, o.Seeds = &s, s.Processes, 1
		}
		return runSoak(c, o)
	}
	return c
}

// runSoak runs a campaign with this executable as the program and prints the results. It returns
// errChecksFailed if a run has violations.
func runSoak(c *cobra.Command, o soak.Options) (err error) {
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "testbed-soak-*"); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.ErrOrStderr(), "files:", o.Dir)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o.Program = lab.Program{Path: self, Args: []string{"dispatch"}}
	o.Progress = func(f string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), f+"\n", args...) }
	campaign, err := soak.RunCampaign(c.Context(), o)
	if campaign != nil {
		campaign.Print(c.OutOrStdout())
	}
	if err != nil {
		return err
	}
	if n := len(campaign.Failed()); n > 0 {
		return fmt.Errorf("%w: violations in %d of %d runs", errChecksFailed, n, len(campaign.Runs))
	}
	return nil
}
