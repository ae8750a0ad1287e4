package cli

// This file owns the command that shows what a running dispatcher holds of its executors. It only asks its console.

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

const askConsole = 2 * time.Second

func verdicts(getenv func(string) string) *cobra.Command {
	group := Group("verdicts", "What a running dispatcher holds of its executors, and why")
	addr, raw, all := "", false, false
	show := &cobra.Command{Use: "show", Short: "A row for each executor that is not well; --all for every one", Args: Args(cobra.NoArgs)}
	show.Flags().StringVar(&addr, "console", "", "the dispatcher's console, host:port; without it $ROUTER_CONSOLE, then what $ROUTER_CONFIG sets")
	show.Flags().BoolVar(&raw, "json", false, "as JSON, every executor")
	show.Flags().BoolVar(&all, "all", false, "also those that are well")
	show.RunE = func(c *cobra.Command, _ []string) error {
		at, err := consoleAt(addr, getenv)
		if err != nil {
			return err
		}
		body, err := get(c.Context(), "http://"+at+"/control/verdicts")
		if err != nil {
			return fmt.Errorf("verdicts: %w", err)
		}
		if raw {
			_, err := c.OutOrStdout().Write(body)
			return err
		}
		var rows []adminapi.Verdict
		if err := json.Unmarshal(body, &rows); err != nil {
			return fmt.Errorf("verdicts: the answer of %s: %w", at, err)
		}
		return showVerdicts(c.OutOrStdout(), rows, all)
	}
	group.AddCommand(show)
	return group
}

// consoleAt is where the dispatcher's console listens.
func consoleAt(addr string, getenv func(string) string) (string, error) {
	if addr == "" {
		addr = getenv("ROUTER_CONSOLE")
	}
	if path := getenv("ROUTER_CONFIG"); addr == "" && path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return "", fmt.Errorf("verdicts: %w", err)
		}
		var file struct {
			Console string `json:"console"`
		}
		if err := json.Unmarshal(raw, &file); err != nil {
			return "", fmt.Errorf("verdicts: %s: %w", path, err)
		}
		addr = file.Console
	}
	if addr == "" {
		return "", errors.New("verdicts: no console: name one by --console, ROUTER_CONSOLE, or ROUTER_CONFIG with the key console")
	}
	return addr, nil
}

func get(ctx context.Context, url string) ([]byte, error) {
	ctx, done := context.WithTimeout(ctx, askConsole)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s: %s", url, resp.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func showVerdicts(out io.Writer, rows []adminapi.Verdict, all bool) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "EXECUTOR\tZONE\tVERDICT\tSERVED\tFAILED\tPACE\tOBSERVERS\tTOLD\tTRIAL\tEVIDENCE")
	well := 0
	for _, v := range rows {
		if v.Verdict == "well" {
			if well++; !all {
				continue
			}
		}
		told, trial := "-", "-"
		if v.WordAgeMS >= 0 {
			told = (time.Duration(v.WordAgeMS) * time.Millisecond).String() + " ago"
		}
		if v.TrialInMS > 0 {
			trial = "in " + (time.Duration(v.TrialInMS) * time.Millisecond).String()
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%.1f\t%.0f %%\t%.1f\t%d:%d\t%s\t%s\t%s\n", v.Executor, v.Zone, v.Verdict, v.Served, 100*v.Failed, v.Pace,
			v.Observers[0], v.Observers[1], told, trial, v.Evidence)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d of %d executors are well\n", well, len(rows))
	return err
}
