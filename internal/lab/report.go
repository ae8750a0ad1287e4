package lab

// The report of an experiment: a table of the figures of the program and the baselines, and bounds
// on figures. Bounds are checked on unrounded figures.

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
)

// Report is the outcome of an experiment.
type Report struct {
	Name   string            `json:"name"`
	Note   string            `json:"note"` // what was run
	Seed   uint64            `json:"seed"`
	Arms   []string          `json:"arms"`
	Rows   []Row             `json:"rows"`
	Bounds []Bound           `json:"bounds"`
	Files  map[string]string `json:"files,omitempty"`

	Partial string `json:"partial,omitempty"` // why the run ended early; the report has the results until then
	Detail  Detail `json:"detail,omitempty"`  // results that do not fit the table
}

// Detail is what an experiment reports besides its table; it is printed after the table.
type Detail interface{ Print(io.Writer) }

// Row is one figure in every arm; NaN if it was not measured.
type Row struct {
	Name   string   `json:"name"`
	Unit   string   `json:"unit"`
	Values []Figure `json:"values"`
}

// Figure is a number; NaN means that it is missing.
type Figure float64

// MarshalJSON writes a missing figure as null.
func (f Figure) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(f)) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(f))
}

// Bound is a limit on a figure: a lower one if AtLeast is set, an upper one otherwise. Both include
// the limit itself.
type Bound struct {
	Name    string  `json:"name"`
	Figure  Figure  `json:"figure"`
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at_least"`
	Holds   bool    `json:"holds"`
}

// AtMost adds an upper bound.
func (r *Report) AtMost(name string, figure, limit float64) {
	r.Bounds = append(r.Bounds, Bound{name, Figure(figure), limit, false, figure <= limit})
}

// AtLeast adds a lower bound.
func (r *Report) AtLeast(name string, figure, limit float64) {
	r.Bounds = append(r.Bounds, Bound{name, Figure(figure), limit, true, figure >= limit})
}

// Row adds a row.
func (r *Report) Row(name, unit string, values ...float64) {
	row := Row{Name: name, Unit: unit}
	for _, v := range values {
		row.Values = append(row.Values, Figure(v))
	}
	r.Rows = append(r.Rows, row)
}

// BrokenBounds returns the number of bounds that do not hold.
func (r *Report) BrokenBounds() (n int) {
	for _, b := range r.Bounds {
		if !b.Holds {
			n++
		}
	}
	return n
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: %s (seed %d)\n\n", r.Name, r.Note, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\t")
	for _, a := range r.Arms {
		fmt.Fprintf(t, "%s\t", a)
	}
	fmt.Fprintln(t)
	for _, row := range r.Rows {
		name := row.Name
		if row.Unit != "" {
			name += ", " + row.Unit
		}
		fmt.Fprintf(t, "%s\t", name)
		for _, v := range row.Values {
			fmt.Fprintf(t, "%s\t", v)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
	fmt.Fprintln(w)
	if r.Detail != nil {
		r.Detail.Print(w)
		fmt.Fprintln(w)
	}
	for _, b := range r.Bounds {
		word, outcome := "at most", "holds"
		if b.AtLeast {
			word = "at least"
		}
		if !b.Holds {
			outcome = "BROKEN"
		}
		fmt.Fprintf(w, "%-6s  %s: %s, %s %.4g\n", outcome, b.Name, b.Figure, word, b.Limit)
	}
	if r.Partial != "" {
		fmt.Fprintf(w, "PARTIAL: %s\n", r.Partial)
	}
}

func (f Figure) String() string {
	if math.IsNaN(float64(f)) {
		return "-"
	}
	return fmt.Sprintf("%.4g", float64(f))
}

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}
