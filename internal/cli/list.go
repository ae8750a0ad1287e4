package cli

// This file owns the commands on a kept list's file: show, verify, export, import, forget. Reading never changes the
// file, also not while a dispatcher has it open; import and forget want it to themselves.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// listing is a kept list as people and programs read it.
type listing struct {
	Owner     string    `json:"owner"`
	Schema    int       `json:"schema"`
	Epoch     string    `json:"epoch,omitempty"`
	Cursor    int64     `json:"cursor"`
	Confirmed time.Time `json:"confirmed"`
	Saved     time.Time `json:"saved"`
	Hazard    float64   `json:"leaves_per_box_hour"`
	Watched   string    `json:"watched"`
	Leaves    float64   `json:"leaves"`
	Returns   float64   `json:"restarts"`
	Unsound   int       `json:"records_left_out,omitempty"`
	Boxes     []boxRow  `json:"boxes"`
}

type boxRow struct {
	ID     string     `json:"id"`
	Addr   string     `json:"addr"`
	State  string     `json:"state"`
	Trust  float64    `json:"trust"`
	Age    string     `json:"age"`
	Zone   int        `json:"zone"`
	Kind   int        `json:"kind"`
	Cell   int        `json:"cell"`
	Weight float64    `json:"weight"`
	Pace   float64    `json:"pace_per_s"`
	Start  *time.Time `json:"start,omitempty"`
	Told   *time.Time `json:"told,omitempty"`
	Proved *time.Time `json:"proved,omitempty"`
}

var stateNames = []string{"off", "draining", "on"}

func stamp(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.UTC()
	return &t
}

func unstamp(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}

func makeListing(f endpointcache.Found, now time.Time) listing {
	l := endpoints.New(endpoints.Config{})
	l.Restore(now, f.Kept)
	k, h := f.Kept, f.Kept.History
	out := listing{Owner: f.Owner, Schema: f.Schema, Epoch: k.Epoch, Cursor: k.Cursor, Confirmed: k.Confirmed.UTC(), Saved: k.Saved.UTC(),
		Hazard: h.FailureRate(), Watched: h.Watched.Round(time.Second).String(), Leaves: h.Leaves, Returns: h.Returns, Unsound: f.Unsound, Boxes: []boxRow{}}
	for _, r := range l.Rows(now) {
		age := "unknown"
		if r.Age >= 0 {
			age = r.Age.Round(time.Second).String()
		}
		out.Boxes = append(out.Boxes, boxRow{ID: fmt.Sprintf("s-%08x", uint32(r.ID)), Addr: r.Addr, State: stateNames[r.State], Trust: r.Trust, Age: age,
			Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, Weight: r.Weight, Pace: r.RequestRate, Start: stamp(r.Start), Told: stamp(r.UpdatedAt), Proved: stamp(r.VerifiedAt)})
	}
	return out
}

func parseID(s string) (balancer.WorkerID, error) {
	n, err := strconv.ParseUint(trimID(s), 16, 32)
	if err != nil {
		return 0, fmt.Errorf("box %q: want s- and 8 hex digits, as list show prints", s)
	}
	return balancer.WorkerID(n), nil
}

func trimID(s string) string {
	if len(s) > 2 && s[:2] == "s-" {
		return s[2:]
	}
	return s
}

func list() *cobra.Command {
	group := Group("list", "Look at the file of a kept list, or change it")
	asJSON := false
	show := &cobra.Command{Use: "show FILE", Short: "Show the boxes with their ages, trust and proofs; also while a dispatcher runs", Args: Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := endpointcache.Snapshot(args[0])
			if err != nil {
				return err
			}
			l := makeListing(f, time.Now())
			if asJSON {
				return printJSON(c.OutOrStdout(), l)
			}
			return l.table(c.OutOrStdout())
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	verify := &cobra.Command{Use: "verify FILE", Short: "Read every record; exit 1 if anything is wrong", Args: Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			wrong, err := endpointcache.Check(args[0])
			if err != nil {
				return err
			}
			for _, w := range wrong {
				fmt.Fprintln(c.OutOrStdout(), w)
			}
			if len(wrong) > 0 {
				return fmt.Errorf("list file %s: %d faults", args[0], len(wrong))
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is sound\n", args[0])
			return nil
		}}
	export := &cobra.Command{Use: "export FILE", Short: "Write the list as JSON, in the form that import reads", Args: Args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := endpointcache.Snapshot(args[0])
			if err != nil {
				return err
			}
			return printJSON(c.OutOrStdout(), makeListing(f, time.Now()))
		}}
	owner := ""
	importing := &cobra.Command{Use: "import FILE JSON", Short: "Make the file hold an exported list; the dispatcher must be stopped", Args: Args(cobra.ExactArgs(2)),
		RunE: func(c *cobra.Command, args []string) error {
			return importList(c.OutOrStdout(), args[0], args[1], owner)
		}}
	importing.Flags().StringVar(&owner, "owner", "", "name of the dispatcher that will use it; empty: as exported")
	all := false
	forget := &cobra.Command{Use: "forget FILE [BOX ...]", Short: "Drop boxes from the list, or all of them; the dispatcher must be stopped", Args: Args(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if all == (len(args) > 1) {
				return usageError{errors.New("name the boxes to forget, or --all")}
			}
			return forgetBoxes(c.OutOrStdout(), args[0], args[1:])
		}}
	forget.Flags().BoolVar(&all, "all", false, "drop every box, and where discovery stands; the history stays")
	group.AddCommand(show, verify, export, importing, forget)
	return group
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (l listing) table(w io.Writer) error {
	fmt.Fprintf(w, "dispatcher %s, epoch %q, cursor %d\nconfirmed %s, saved %s\n%.3g departures per box-hour (%.3g in %s watched), %.3g restarts\n",
		l.Owner, l.Epoch, l.Cursor, l.Confirmed.Format(time.RFC3339), l.Saved.Format(time.RFC3339), l.Hazard, l.Leaves, l.Watched, l.Returns)
	if l.Unsound > 0 {
		fmt.Fprintf(w, "%d records fail their checksum and are left out\n", l.Unsound)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BOX\tADDRESS\tSTATE\tTRUST\tAGE\tPACE/S\tPROVED")
	for _, b := range l.Boxes {
		proved := "never"
		if b.Proved != nil {
			proved = b.Proved.Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%s\t%.2f\t%s\n", b.ID, b.Addr, b.State, b.Trust, b.Age, b.Pace, proved)
	}
	return t.Flush()
}

func importList(out io.Writer, path, from, owner string) error {
	raw, err := os.ReadFile(from)
	if err != nil {
		return fmt.Errorf("import: %w", err)
	}
	var l listing
	if err := json.Unmarshal(raw, &l); err != nil {
		return fmt.Errorf("import: %s: %w", from, err)
	}
	if owner == "" {
		owner = l.Owner
	}
	k := endpoints.Snapshot{Epoch: l.Epoch, Cursor: l.Cursor, Confirmed: l.Confirmed, Saved: l.Saved,
		History: endpoints.History{Leaves: l.Leaves, Returns: l.Returns}}
	if k.History.Watched, err = time.ParseDuration(l.Watched); err != nil {
		return fmt.Errorf("import: %s: watched: %w", from, err)
	}
	for i, b := range l.Boxes {
		id, err := parseID(b.ID)
		state := slices.Index(stateNames, b.State)
		if err == nil && state < 0 {
			err = fmt.Errorf("state %q is not known", b.State)
		}
		if err != nil {
			return fmt.Errorf("import: %s: boxes[%d]: %w", from, i, err)
		}
		k.Endpoints = append(k.Endpoints, endpoints.Endpoint{ID: id, Addr: b.Addr, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, State: balancer.EndpointState(state),
			Weight: b.Weight, RequestRate: b.Pace, Start: unstamp(b.Start), UpdatedAt: unstamp(b.Told), VerifiedAt: unstamp(b.Proved)})
	}
	if err := rewrite(path, owner, func(endpoints.Snapshot) endpoints.Snapshot { return k }); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s holds %d boxes for dispatcher %s\n", path, len(k.Endpoints), owner)
	return nil
}

func forgetBoxes(out io.Writer, path string, names []string) error {
	f, err := endpointcache.Read(path, "")
	if err != nil {
		return err
	}
	drop := map[balancer.WorkerID]bool{}
	for _, n := range names {
		id, err := parseID(n)
		if err != nil {
			return usageError{err}
		}
		if !slices.ContainsFunc(f.Kept.Endpoints, func(b endpoints.Endpoint) bool { return b.ID == id }) {
			return fmt.Errorf("list file %s: box %s is not in it", path, n)
		}
		drop[id] = true
	}
	n := 0
	err = rewrite(path, f.Owner, func(k endpoints.Snapshot) endpoints.Snapshot {
		if len(names) == 0 {
			n, k.Endpoints, k.Cursor, k.Epoch = len(k.Endpoints), nil, 0, ""
			return k
		}
		n = len(k.Endpoints)
		k.Endpoints = slices.DeleteFunc(k.Endpoints, func(b endpoints.Endpoint) bool { return drop[b.ID] })
		n -= len(k.Endpoints)
		return k
	})
	if err == nil {
		fmt.Fprintf(out, "%d boxes forgotten\n", n)
	}
	return err
}

func rewrite(path, owner string, change func(endpoints.Snapshot) endpoints.Snapshot) error {
	s, f, err := endpointcache.Open(path, owner)
	if err != nil {
		if s != nil {
			_ = s.Close()
		}
		return err
	}
	if err := s.Write(change(f.Kept)); err != nil {
		_ = s.Close()
		return err
	}
	return s.Close()
}
