package lab

import (
	"fmt"
	"strings"
)

// Options are the options of any experiment.
type Options struct {
	Quick bool
	Seed  uint64
	Dir   string // for files of the run
	Plots string // directory for plots; empty: none
	// the earlier version to compare with, a commit or a program file; empty: the experiment's
	// default
	Before string
	Only   string               // selects the faults whose name contains this; empty: all
	Log    func(string, ...any) // reports progress
}

// pick returns the faults that Only selects, or an error if there are none.
func (o *Options) pick(faults []string) ([]string, error) {
	var out []string
	for _, f := range faults {
		if strings.Contains(f, o.Only) {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no fault contains %q: there are %q", o.Only, faults)
	}
	return out, nil
}
