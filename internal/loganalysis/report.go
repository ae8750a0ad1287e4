package loganalysis

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	maxReportedWorkers   = 20
	maxReportedOverloads = 3 // workers that are listed second by second
)

// Report writes the counts as tables. retention is the time that an idle model stays loaded.
// Seconds are counted from the first one.
func (l *FleetLog) Report(w io.Writer, retention time.Duration) error {
	started, unnecessary := l.Loads(retention)
	fmt.Fprintf(w, "%d dispatchers, %d lines, %d not readable; %d loads begun by calls, %d of them needless\n\n",
		len(l.Dispatchers), l.Lines, l.Skipped, started, unnecessary)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	first := l.firstSecond()
	l.reportEvents(table, first)
	l.reportSeconds(table, first)
	l.reportOverloads(table, first)
	l.reportWorkers(table)
	return table.Flush()
}

// firstSecond returns the Unix second of the first event.
func (l *FleetLog) firstSecond() int64 {
	first := int64(math.MaxInt64)
	for at := range l.seconds {
		first = min(first, at)
	}
	return first
}

func (l *FleetLog) reportEvents(w io.Writer, first int64) {
	fmt.Fprintln(w, "second\tattempts\torders\tanswers\tother")
	for _, at := range slices.Sorted(maps.Keys(l.seconds)) {
		s := l.seconds[at]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", at-first, s.attempts, s.loadOrders, s.calls, s.other)
	}
}

func (l *FleetLog) reportSeconds(w io.Writer, first int64) {
	fmt.Fprintln(w, "\nsecond\tattempts\tfull\tfirst tries\tsecond\tthird\tfourth\tlater"+
		"\tejections that stand\tdispatchers with a zone cut off")
	for _, s := range l.Seconds() {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.At-first, s.Attempts, s.Full,
			s.ByNumber[0], s.ByNumber[1], s.ByNumber[2], s.ByNumber[3], s.ByNumber[4], s.Ejections, s.Partitioned)
	}
}

func (l *FleetLog) reportOverloads(w io.Writer, first int64) {
	fmt.Fprintln(w, "\nfullest executors\tsecond\tattempts\tfull\tfrom dispatchers")
	for _, s := range l.Overloaded(maxReportedOverloads) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", s.ID, s.At-first, s.Attempts, s.Full, s.Dispatchers)
	}
}

func (l *FleetLog) reportWorkers(w io.Writer) {
	fmt.Fprintln(w, "\nexecutor\tfrom\tbusiest 100 ms\tresults\torders\tfailed for\tejected\tmiddle one after")
	workers := l.Workers()
	for _, x := range workers[:min(maxReportedWorkers, len(workers))] {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%.1fs\t%d\t%.1fs\n", x.ID, x.Dispatchers, x.Peak, x.Results,
			x.LoadOrders, x.FailedFor.Seconds(), x.Ejections, x.EjectionDelay.Seconds())
	}
}
