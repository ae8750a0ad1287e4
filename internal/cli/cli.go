// Package cli is the command line of the dispatcher. Its commands can read the files of a running
// dispatcher, but never change a file that a dispatcher has open.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2 // invalid command line
)

// Env is the environment that a command runs in.
type Env struct {
	Getenv        func(string) string
	ReloadSignals <-chan os.Signal
	Out, Err      io.Writer
	Log           *slog.Logger // nil: to Err, as configured by the configuration file
	// SharedProcess is true if other code runs in this process, so that the thread and memory limits
	// of the Go runtime are not set.
	SharedProcess bool
}

// usageError is an error in the command line itself.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// ExitCode returns the exit code for an error of Run.
func ExitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitError
}

// Run runs the command in args, which do not include the program's name.
func Run(ctx context.Context, env Env, args []string) error {
	root := newRootCommand(env)
	root.SetArgs(rewriteLegacyFlag(args))
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	root.SetContext(ctx)
	return root.ExecuteContext(ctx)
}

// rewriteLegacyFlag replaces -webhooks by --webhooks, since cobra would parse the former as several
// short flags.
func rewriteLegacyFlag(args []string) []string {
	rewritten := make([]string, 0, len(args))
	for _, arg := range args {
		if arg == "-webhooks" {
			arg = "--webhooks"
		}
		rewritten = append(rewritten, arg)
	}
	return rewritten
}

// newRootCommand returns the program's command, which serves if no subcommand is given.
func newRootCommand(env Env) *cobra.Command {
	root := &cobra.Command{
		Use:   "oakthread",
		Short: "Dispatch model calls to the workers that have the model loaded",
		Long: "oakthread dispatches each model call to the least loaded worker believed to have the model loaded.\n" +
			"Without a command it serves. ROUTER_CONFIG names the platform's configuration file.",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          Args(cobra.NoArgs),
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	addServe(root, env)
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve until SIGTERM; all calls that were admitted are answered",
		Args:  Args(cobra.NoArgs),
	}
	addServe(serve, env)
	root.AddCommand(
		serve,
		newConfigCommand(),
		newEndpointsCommand("endpoints"),
		hidden(newEndpointsCommand("list")),
		newHealthCommand("health", env.Getenv),
		hidden(newHealthCommand("verdicts", env.Getenv)),
	)
	return root
}

// hidden hides a command that is kept under a former name from the help text, and returns it.
func hidden(command *cobra.Command) *cobra.Command {
	command.Hidden = true
	return command
}

// Args returns check with its errors turned into usage errors that refer to the command's help.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{fmt.Errorf("%w; see %s --help", err, c.CommandPath())}
		}
		return nil
	}
}

// NewGroup returns a command that only groups subcommands. When run without a subcommand, it prints its
// help and returns a usage error.
func NewGroup(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  Args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			_ = c.Help()
			return usageError{fmt.Errorf("%s needs a command", c.CommandPath())}
		},
	}
}
