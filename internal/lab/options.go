package lab

import (
	"fmt"
	"strings"
)

// Options are those of any experiment.
type Options struct {
	Quick bool
	Seed  uint64
	Dir   string // for files of the run
	Plots string // folder for plots; empty: none
	// the older version set beside this one, a commit or a program; empty: the experiment's own
	Before string
	Only   string               // of an experiment's faults, those whose name holds this; empty: all
	Log    func(string, ...any) // progress
}

// pick are the faults that a run is to have.
func (o *Options) pick(faults []string) ([]string, error) {
	var out []string
	for _, f := range faults {
		if strings.Contains(f, o.Only) {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no fault holds %q: there are %q", o.Only, faults)
	}
	return out, nil
}
