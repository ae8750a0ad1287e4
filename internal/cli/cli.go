// Package cli owns the command line of the dispatcher: what operators type, and what they are shown. It must never
// change a file that a running dispatcher has open.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"oakthread/internal/config"
	"oakthread/internal/daemon"
	"oakthread/webhook"
)

// Env is the world that a command runs in.
type Env struct {
	Getenv   func(string) string
	Hup      <-chan os.Signal
	Out, Err io.Writer
	Log      *slog.Logger // nil: as the operator's file asks, on Err
}

// usageError is a command line that cannot be read: exit code 2.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// Code is the exit code for the error of Run.
func Code(err error) int {
	var u usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &u):
		return 2
	}
	return 1
}

// Run carries out one command line.
func Run(ctx context.Context, env Env, args []string) error {
	root := command(env)
	for i, a := range args { // the flag's form before there were commands
		if a == "-webhooks" {
			args = append(append(append([]string(nil), args[:i]...), "--webhooks"), args[i+1:]...)
		}
	}
	root.SetArgs(args)
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	root.SetContext(ctx)
	return root.ExecuteContext(ctx)
}

func command(env Env) *cobra.Command {
	root := &cobra.Command{
		Use:   "oakthread",
		Short: "Dispatch calls of models to the workers that hold them loaded",
		Long: "oakthread dispatches calls of models to the least loaded worker believed warm.\n" +
			"Without a command it serves. ROUTER_CONFIG names the platform's configuration file.",
		SilenceErrors: true, SilenceUsage: true,
		Args: Args(cobra.NoArgs),
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	serve(root, env)
	alone := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM; all calls taken are answered", Args: Args(cobra.NoArgs)}
	serve(alone, env)
	config := Group("config", "Look at the operator's file")
	config.AddCommand(&cobra.Command{Use: "check FILE", Short: "Check an operator's file and say what it sets", Args: Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error { return checkConfig(c.OutOrStdout(), args[0]) }})
	root.AddCommand(alone, config, list(), verdicts(env.Getenv))
	return root
}

// Args words a wrong number of arguments as a usage error.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{fmt.Errorf("%w; see %s --help", err, c.CommandPath())}
		}
		return nil
	}
}

// Group is a command that only holds others.
func Group(use, short string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: Args(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
		_ = c.Help()
		return usageError{fmt.Errorf("%s needs a command", c.CommandPath())}
	}}
}

func serve(c *cobra.Command, env Env) {
	file := c.Flags().String("config", "", "operator's file, such as deploy/oakthread.toml; empty: all of its parts are off")
	hooks := c.Flags().String("webhooks", "", "operator's file of the webhook front alone, as in deploy/webhooks.toml")
	c.RunE = func(c *cobra.Command, _ []string) error {
		o := daemon.Options{Getenv: env.Getenv, Hup: env.Hup, Log: env.Log}
		var err error
		if *file != "" {
			if o.File, err = config.Read(*file); err != nil {
				return err
			}
			o.Webhooks = o.File.Webhooks
		}
		if *hooks != "" {
			if o.Webhooks != nil {
				return usageError{fmt.Errorf("--webhooks and section webhooks of %s: one of them", *file)}
			}
			if o.Webhooks, err = webhook.ReadOptions(*hooks); err != nil {
				return err
			}
		}
		if o.Log == nil {
			o.Log = slog.New(o.File.Handler(env.Err))
		}
		return daemon.Run(c.Context(), o)
	}
}

func checkConfig(out io.Writer, path string) error {
	f, err := config.Read(path)
	if err != nil {
		return err
	}
	on := func(is bool) string {
		if is {
			return "on"
		}
		return "off"
	}
	fmt.Fprintf(out, "%s is sound\n  list      %s", path, on(f.List != nil))
	if f.List != nil {
		fmt.Fprintf(out, ", kept in %s", f.List.Path)
	}
	fmt.Fprintf(out, "\n  http2     %s", on(f.HTTP2 != nil))
	if f.HTTP2 != nil {
		fmt.Fprintf(out, ", at %s", f.HTTP2.Listen)
	}
	fmt.Fprintf(out, "\n  webhooks  %s", on(f.Webhooks != nil))
	if f.Webhooks != nil {
		fmt.Fprintf(out, ", at %s, %d operators", f.Webhooks.Listen, len(f.Webhooks.Operators))
	}
	fmt.Fprintln(out)
	return nil
}
