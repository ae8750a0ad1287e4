package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"oakthread/internal/adminapi"
)

const (
	adminTimeout          = 2 * time.Second // the admin API answers within one second
	maxAdminResponseBytes = 16 << 20
)

var errNoAdminAddress = errors.New(
	"health: no admin API: name one by --console, ROUTER_CONSOLE, or ROUTER_CONFIG with the key console")

// newHealthCommand returns the command that shows the health of workers as a running dispatcher
// sees it, under the given name.
func newHealthCommand(name string, getenv func(string) string) *cobra.Command {
	group := NewGroup(name, "Show the health of workers as a running dispatcher sees it, and why")
	var options healthOptions
	show := &cobra.Command{
		Use:   "show",
		Short: "Show a row for each worker that is not healthy; --all for every worker",
		Args:  Args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return showHealth(c.Context(), c.OutOrStdout(), options, getenv)
		},
	}
	show.Flags().StringVar(&options.address, "console", "",
		"address of the dispatcher's admin API, host:port; default: $ROUTER_CONSOLE, then what $ROUTER_CONFIG sets")
	show.Flags().BoolVar(&options.json, "json", false, "as JSON, every worker")
	show.Flags().BoolVar(&options.all, "all", false, "also those that are healthy")
	group.AddCommand(show)
	return group
}

// healthOptions are the flags of the health show command.
type healthOptions struct {
	address string // of the admin API; empty: see adminAddress
	json    bool
	all     bool
}

// showHealth queries the admin API and prints the health of workers.
func showHealth(ctx context.Context, out io.Writer, options healthOptions, getenv func(string) string) error {
	address, err := adminAddress(options.address, getenv)
	if err != nil {
		return err
	}
	body, err := get(ctx, "http://"+address+"/control/verdicts")
	if err != nil {
		return fmt.Errorf("health: %w", err)
	}
	if options.json {
		_, err := out.Write(body)
		return err
	}
	var workers []adminapi.WorkerHealth
	if err := json.Unmarshal(body, &workers); err != nil {
		return fmt.Errorf("health: response of %s: %w", address, err)
	}
	return printHealth(out, workers, options.all)
}

// adminAddress returns the address of the dispatcher's admin API: the value of the flag, or else of
// ROUTER_CONSOLE, or else of the key console in the file that ROUTER_CONFIG names.
func adminAddress(flag string, getenv func(string) string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	if address := getenv("ROUTER_CONSOLE"); address != "" {
		return address, nil
	}
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return "", errNoAdminAddress
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("health: %w", err)
	}
	var file struct {
		Console string `json:"console"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return "", fmt.Errorf("health: %s: %w", path, err)
	}
	if file.Console == "" {
		return "", errNoAdminAddress
	}
	return file.Console, nil
}

// get returns the body of the response to a GET request. A status other than 200 is an error.
func get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s: %s", url, response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// printHealth prints a row for each worker, or only for those that are not healthy.
func printHealth(out io.Writer, workers []adminapi.WorkerHealth, all bool) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "EXECUTOR\tZONE\tVERDICT\tSERVED\tFAILED\tPACE\tOBSERVERS\tTOLD\tTRIAL\tEVIDENCE")
	healthy := 0
	for _, worker := range workers {
		if worker.State == "well" {
			healthy++
			if !all {
				continue
			}
		}
		printHealthRow(table, worker)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d of %d executors are well\n", healthy, len(workers))
	return err
}

func printHealthRow(table io.Writer, worker adminapi.WorkerHealth) {
	gossip, nextCheck := "-", "-"
	if worker.GossipAgeMS >= 0 {
		gossip = milliseconds(worker.GossipAgeMS).String() + " ago"
	}
	if worker.NextCheckInMS > 0 {
		nextCheck = "in " + milliseconds(worker.NextCheckInMS).String()
	}
	fmt.Fprintf(table, "%d\t%d\t%s\t%.1f\t%.0f %%\t%.1f\t%d:%d\t%s\t%s\t%s\n",
		worker.Worker, worker.Zone, worker.State,
		worker.RecentSuccesses, 100*worker.FailureFraction, worker.LatencyRatio,
		worker.Observers[0], worker.Observers[1], gossip, nextCheck, worker.Evidence)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
