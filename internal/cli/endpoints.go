package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"oakthread/internal/endpointcache"
)

// newEndpointsCommand returns the commands for the file of a cached endpoint list, under the given
// name. Those that read the file also work while a dispatcher has it open; import and forget do
// not.
func newEndpointsCommand(name string) *cobra.Command {
	group := NewGroup(name, "Inspect or change the file of a cached endpoint list")
	group.AddCommand(
		newEndpointsShowCommand(),
		newEndpointsVerifyCommand(),
		newEndpointsExportCommand(),
		newEndpointsImportCommand(),
		newEndpointsForgetCommand(),
	)
	return group
}

func newEndpointsShowCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "show FILE",
		Short: "Show the endpoints with age, confidence and last verification; also while a dispatcher runs",
		Args:  Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := readEndpointList(args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), list)
			}
			return list.printTable(c.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return command
}

func newEndpointsVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify FILE",
		Short: "Read every record; exit with 1 if there is a fault",
		Args:  Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return verifyEndpoints(c.OutOrStdout(), args[0])
		},
	}
}

func newEndpointsExportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export FILE",
		Short: "Write the list as JSON, in the form that import reads",
		Args:  Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := readEndpointList(args[0])
			if err != nil {
				return err
			}
			return printJSON(c.OutOrStdout(), list)
		},
	}
}

func newEndpointsImportCommand() *cobra.Command {
	var owner string
	command := &cobra.Command{
		Use:   "import FILE JSON",
		Short: "Replace the list in the file with an exported one; the dispatcher must be stopped",
		Args:  Args(cobra.ExactArgs(2)),
		RunE: func(c *cobra.Command, args []string) error {
			return importEndpoints(c.OutOrStdout(), args[0], args[1], owner)
		},
	}
	command.Flags().StringVar(&owner, "owner", "", "name of the dispatcher that will use it; empty: as exported")
	return command
}

func newEndpointsForgetCommand() *cobra.Command {
	var all bool
	command := &cobra.Command{
		Use:   "forget FILE [WORKER ...]",
		Short: "Remove endpoints from the list, or all of them; the dispatcher must be stopped",
		Args:  Args(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			path, workers := args[0], args[1:]
			if all == (len(workers) > 0) {
				return usageError{errors.New("name either the workers to forget or --all")}
			}
			return forgetEndpoints(c.OutOrStdout(), path, workers)
		},
	}
	command.Flags().BoolVar(&all, "all", false,
		"remove every endpoint and the position in the discovery stream; the history stays")
	return command
}

// readEndpointList reads the list in the file at path without locking it.
func readEndpointList(path string) (endpointList, error) {
	found, err := endpointcache.ReadShared(path)
	if err != nil {
		return endpointList{}, err
	}
	return newEndpointList(found, time.Now()), nil
}

// verifyEndpoints prints the faults of the file at path. It returns an error if there are any.
func verifyEndpoints(out io.Writer, path string) error {
	faults, err := endpointcache.Check(path)
	if err != nil {
		return err
	}
	for _, fault := range faults {
		fmt.Fprintln(out, fault)
	}
	if len(faults) > 0 {
		return fmt.Errorf("list file %s: %d faults", path, len(faults))
	}
	fmt.Fprintf(out, "%s is sound\n", path)
	return nil
}

// printJSON prints value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
