// Command testbed runs the experiments of internal/lab from the command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oakthread/internal/cli"
	"oakthread/internal/config"
	"oakthread/internal/daemon"
	"oakthread/internal/fault"
	"oakthread/internal/lab"
	"oakthread/internal/loganalysis"
)

var errChecksFailed = errors.New("checks failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := rootCommand()
	root.SetContext(ctx)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
	}
	if errors.Is(err, lab.ErrDimension) {
		os.Exit(2) // as for any command line that cannot be parsed
	}
	os.Exit(cli.ExitCode(err))
}

// rootCommand returns the root command with all experiments.
func rootCommand() *cobra.Command {
	root := cli.NewGroup("testbed", "The laboratory: experiments on loopback that set our ways beside baselines")
	root.SilenceErrors, root.SilenceUsage = true, true
	root.CompletionOptions.HiddenDefaultCmd = true
	run := cli.NewGroup("run", "Run an experiment; ends 0 only if all its bounds hold")
	for _, e := range lab.Experiments() {
		run.AddCommand(experimentCommand(e))
	}
	run.AddCommand(soakCommand())
	demo := &cobra.Command{
		Use: "demo", Short: "Start discovery, a dozen workers and a dispatcher, and send some seconds of calls",
		Args: cli.Args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error { return lab.Demo(c.Context(), c.OutOrStdout()) },
	}
	root.AddCommand(run, demo, ledgerCommand(), dispatchCommand())
	return root
}

// experimentCommand returns the command that runs one experiment. It returns errChecksFailed unless
// all bounds hold.
func experimentCommand(e lab.Experiment) *cobra.Command {
	o := lab.Options{}
	out := ""
	c := &cobra.Command{Use: e.Name, Short: e.Short, Args: cli.Args(cobra.NoArgs)}
	c.Flags().BoolVar(&o.Quick, "quick", false, "smaller, under 45 s; capacity under 60 s")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "for arrivals, popularity and restarts")
	c.Flags().StringVar(&o.Plots, "plots", "", "folder that plots are written to")
	c.Flags().StringVar(&out, "json", "", "file that the report is written to")
	c.Flags().StringVar(&o.Before, "before", "",
		"the older version beside ours where there is one: a commit or a program")
	c.Flags().StringVar(&o.Only, "only", "",
		"of the faults of mesh or verdicts, those whose name holds this; of the dimensions of capacity, these, "+
			"parted by commas")
	keep := c.Flags().Bool("keep", false, "leave the run's files, with the dispatchers' logs, and say where they are")
	c.RunE = func(c *cobra.Command, _ []string) error {
		clean, err := lab.MakeTempDir(&o)
		if err != nil {
			return err
		}
		if *keep {
			fmt.Fprintln(c.ErrOrStderr(), "files:", o.Dir)
		} else {
			defer clean()
		}
		o.Log = func(f string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), f+"\n", args...) }
		rep, err := e.Run(c.Context(), o)
		if err != nil && (rep == nil || rep.Partial == "") {
			return err
		}
		rep.Print(c.OutOrStdout()) // for an interrupted run, the results until then
		if out != "" {
			err = errors.Join(err, rep.Write(out))
		}
		if err != nil {
			return err
		}
		if n := rep.BrokenBounds(); n > 0 {
			return fmt.Errorf("%w: %d of %d bounds do not hold", errChecksFailed, n, len(rep.Bounds))
		}
		return nil
	}
	return c
}

// ledgerCommand returns the command that evaluates the debug logs of many dispatchers together.
func ledgerCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "ledger LOG...",
		Short: "Count over the debug logs of a fleet, one file a dispatcher: herds, duplicate loads, faults that go on",
		Args:  cli.Args(cobra.MinimumNArgs(1)),
	}
	keep := c.Flags().Duration("keep", 8*time.Second, "time that an idle copy stays loaded")
	c.RunE = func(c *cobra.Command, logs []string) error {
		var l loganalysis.FleetLog
		for _, path := range logs {
			f, err := os.Open(path)
			if err != nil {
				return fmt.Errorf("ledger: %w", err)
			}
			err = l.Read(strings.TrimSuffix(filepath.Base(path), ".log"), f)
			f.Close()
			if err != nil {
				return fmt.Errorf("ledger: %w", err)
			}
		}
		return l.Report(c.OutOrStdout(), *keep)
	}
	return c
}

// dispatchCommand returns the hidden command that runs the daemon for experiments.
func dispatchCommand() *cobra.Command {
	c := &cobra.Command{Use: "dispatch", Hidden: true, Args: cli.Args(cobra.NoArgs)}
	file := c.Flags().String("config", "", "operator's file")
	fresh := c.Flags().Bool("fresh", false, "baseline: a kept list counts as if just told")
	faults := c.Flags().String("faults", "", "plan of what this process does to itself")
	c.RunE = func(c *cobra.Command, _ []string) error {
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		o := daemon.Options{Getenv: os.Getenv, ReloadSignals: hup, TrustCachedList: *fresh}
		if *file != "" {
			f, err := config.Read(*file)
			if err != nil {
				return err
			}
			o.ConfigFile, o.Webhooks = f, f.Webhooks
		}
		if *faults != "" {
			plan, err := fault.Read(*faults)
			if err != nil {
				return err
			}
			if o.Network, err = plan.Start(); err != nil {
				return err
			}
			o.Strict = true
		}
		o.Log = slog.New(o.ConfigFile.Handler(io.Writer(os.Stderr)))
		return daemon.Run(c.Context(), o)
	}
	return c
}
