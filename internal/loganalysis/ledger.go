// Package ledger counts over the logs of a whole fleet what no single dispatcher shows: herds, duplicate loads, and how
// long a fault goes on after it was first met. It reads what dispatchers write at level debug, decides nothing, and must
// never fail on a line: what cannot be read is counted and skipped.
package loganalysis

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	maxLine  = 1 << 20
	interval = 100 * time.Millisecond // of the busiest moment of an executor
	shown    = 20                     // executors listed
)

// Counts is how often each outcome came.
type Counts map[string]int

// attempt is one send or order that ended.
type attempt struct {
	node, worker, fn string
	n                int // of the call's attempts, from 0
	begun, ended     time.Time
	result           string
	warm, load       bool
	order            bool
}

// Ledger holds the events of a fleet. The zero value is ready.
type Ledger struct {
	Lines, Skipped int // read; of these, not readable
	Nodes          map[string]bool
	attempts       []attempt
	seconds        map[int64]*second // by Unix second
	ejected        map[string][]time.Time
	changes        []change
}

// change is an executor that a dispatcher put out, or took back; zone: with all that it could not reach there.
type change struct {
	at             time.Time
	node, worker   string
	out, far, zone bool
}

// second is what happened in one second at all dispatchers.
type second struct{ Attempts, Orders, Answers, Other Counts }

func (l *Ledger) at(t time.Time) *second {
	s := l.seconds[t.Unix()]
	if s == nil {
		s = &second{Counts{}, Counts{}, Counts{}, Counts{}}
		l.seconds[t.Unix()] = s
	}
	return s
}

// Read takes the log of one dispatcher, in text or JSON. name stands in for a dispatcher whose lines do not tell theirs.
// The error is that of r; lines that are cut, garbled or too long are skipped.
func (l *Ledger) Read(name string, r io.Reader) error {
	if l.Nodes == nil {
		l.Nodes, l.seconds, l.ejected = map[string]bool{}, map[int64]*second{}, map[string][]time.Time{}
	}
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		line, err := in.ReadString('\n')
		if line = strings.TrimSpace(line); line != "" {
			l.Lines++
			if len(line) > maxLine || !l.line(name, line) {
				l.Skipped++
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("log of %s: %w", name, err)
		}
	}
}

// line takes one line; false: it cannot be read.
func (l *Ledger) line(name, line string) bool {
	f := fields(line)
	t, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil || f["msg"] == "" {
		return false
	}
	node := cmp.Or(f["name"], name)
	l.Nodes[node] = true
	s := l.at(t)
	switch msg := f["msg"]; {
	case msg == "attempt ended" || msg == "order ended":
		ms, err := strconv.ParseInt(f["ms"], 10, 64)
		if err != nil || ms < 0 || f["worker"] == "" || f["result"] == "" {
			return false
		}
		a := attempt{node: node, worker: f["worker"], fn: f["fn"], begun: t.Add(-time.Duration(ms) * time.Millisecond), ended: t,
			result: f["result"], order: msg == "order ended"}
		if a.n, err = strconv.Atoi(cmp.Or(f["n"], "0")); err != nil || a.n < 0 {
			return false
		}
		if a.order {
			s.Orders[a.result]++
		} else {
			s.Attempts[a.result]++
			a.warm, a.load = a.result == "ok" && f["note"] == "1", a.result == "ok" && f["note"] == "2"
		}
		l.attempts = append(l.attempts, a)
	case msg == "settled":
		if f["outcome"] == "" {
			return false
		}
		s.Answers[f["outcome"]]++
	case msg == "dialed":
		s.Other["dials"]++
	case strings.HasPrefix(msg, "worker ") && strings.Contains(msg, " ejected"):
		w, _, _ := strings.Cut(strings.TrimPrefix(msg, "worker "), " ")
		l.ejected[w] = append(l.ejected[w], t)
		l.changes = append(l.changes, change{t, node, w, true, strings.Contains(msg, "cannot be reached"), strings.Contains(msg, "cut off")})
		s.Other["ejections"]++
	case strings.HasPrefix(msg, "worker ") && strings.Contains(msg, " back"):
		w, _, _ := strings.Cut(strings.TrimPrefix(msg, "worker "), " ")
		l.changes = append(l.changes, change{t, node, w, false, false, strings.Contains(msg, "zone")})
	}
	return true
}

// fields reads a line of slog's text or JSON handler, also behind a prefix of its reader's. Nil if it is neither.
func fields(line string) map[string]string {
	out := map[string]string{}
	if strings.HasPrefix(line, "{") {
		var raw map[string]any
		dec := json.NewDecoder(strings.NewReader(line))
		dec.UseNumber()
		if dec.Decode(&raw) != nil {
			return nil
		}
		for k, v := range raw {
			out[k] = fmt.Sprint(v)
		}
		return out
	}
	i := strings.Index(line, "time=")
	if i < 0 {
		return nil
	}
	for rest := line[i:]; rest != ""; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			return nil // cut within a key
		}
		value := after
		if strings.HasPrefix(after, `"`) {
			q, err := strconv.QuotedPrefix(after)
			if err != nil {
				return nil
			}
			rest = strings.TrimPrefix(after[len(q):], " ")
			value, _ = strconv.Unquote(q)
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		out[key] = value
	}
	return out
}

// Worker is what all dispatchers did at one executor.
type Worker struct {
	ID              string
	Results, Orders Counts
	Busiest         int           // attempts and orders begun within 100 ms
	From            int           // dispatchers that sent to it
	FailedFor       time.Duration // from the first attempt that failed there to the last
	Ejected         int           // times that a dispatcher ejected it
	Middle          time.Duration // how long after the first failure the middle one of the ejections came
}

// Workers counts by executor, those with most failures first.
func (l *Ledger) Workers() []Worker {
	type more struct {
		Worker
		from        map[string]bool
		begun       []time.Time
		first, last time.Time
	}
	by := map[string]*more{}
	for _, a := range l.attempts {
		w := by[a.worker]
		if w == nil {
			w = &more{Worker: Worker{ID: a.worker, Results: Counts{}, Orders: Counts{}}, from: map[string]bool{}}
			by[a.worker] = w
		}
		w.begun = append(w.begun, a.begun)
		w.from[a.node] = true
		if a.order {
			w.Orders[a.result]++
			continue
		}
		w.Results[a.result]++
		if faulty(a.result) {
			if w.first.IsZero() || a.ended.Before(w.first) {
				w.first = a.ended
			}
			if a.ended.After(w.last) {
				w.last = a.ended
			}
		}
	}
	var out []Worker
	for _, w := range by {
		slices.SortFunc(w.begun, time.Time.Compare)
		for i, j := 0, 0; j < len(w.begun); j++ {
			for w.begun[j].Sub(w.begun[i]) >= interval {
				i++
			}
			w.Busiest = max(w.Busiest, j-i+1)
		}
		w.From, w.FailedFor = len(w.from), w.last.Sub(w.first)
		if es := l.ejected[w.ID]; len(es) > 0 && !w.first.IsZero() {
			slices.SortFunc(es, time.Time.Compare)
			w.Ejected, w.Middle = len(es), es[len(es)/2].Sub(w.first)
		}
		out = append(out, w.Worker)
	}
	slices.SortFunc(out, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(failures(b.Results), failures(a.Results)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// faulty results tell against an executor; a full queue or a call called off does not.
func faulty(result string) bool {
	return slices.Contains([]string{"error", "timeout", "connect_failed", "reset"}, result)
}

func failures(c Counts) (n int) {
	for result, x := range c {
		if faulty(result) {
			n += x
		}
	}
	return n
}

// Loads counts the loads that calls began and those of them that were needless: another executor had answered a call of
// the function from a loaded copy within keep before.
func (l *Ledger) Loads(keep time.Duration) (begun, needless int) {
	type copyOf struct{ fn, worker string }
	seen := map[copyOf][]time.Time{}
	at := map[string][]string{} // function → executors
	for _, a := range l.attempts {
		if a.warm {
			k := copyOf{a.fn, a.worker}
			if seen[k] == nil {
				at[a.fn] = append(at[a.fn], a.worker)
			}
			seen[k] = append(seen[k], a.ended)
		}
	}
	for _, ts := range seen {
		slices.SortFunc(ts, time.Time.Compare)
	}
	for _, a := range l.attempts {
		if !a.load {
			continue
		}
		begun++
		for _, w := range at[a.fn] {
			ts := seen[copyOf{a.fn, w}]
			i, _ := slices.BinarySearchFunc(ts, a.begun, time.Time.Compare)
			if w != a.worker && i > 0 && a.begun.Sub(ts[i-1]) < keep {
				needless++
				break
			}
		}
	}
	return begun, needless
}

// Moment is one second of the whole fleet.
type Moment struct {
	At       int64 // Unix second
	Attempts int
	Full     int
	Tries    [5]int // attempts by their number in the call, the fifth and later together
	Standing int    // ejections in force at its end, over all dispatchers
	Cut      int    // dispatchers that hold some zone for cut off
}

// Moments lists every second in which something ended.
func (l *Ledger) Moments() []Moment {
	by := map[int64]*Moment{}
	for at := range l.seconds {
		by[at] = &Moment{At: at}
	}
	for _, a := range l.attempts {
		if a.order {
			continue
		}
		m := by[a.ended.Unix()]
		m.Attempts++
		m.Tries[min(a.n, len(m.Tries)-1)]++
		if a.result == "full" {
			m.Full++
		}
	}
	slices.SortStableFunc(l.changes, func(a, b change) int { return a.at.Compare(b.at) })
	out := map[[2]string]bool{} // node and worker: it cannot be reached
	cut := map[string]bool{}
	var all []Moment
	next := 0
	for _, at := range slices.Sorted(maps.Keys(by)) {
		for ; next < len(l.changes) && l.changes[next].at.Unix() <= at; next++ {
			switch c := l.changes[next]; {
			case c.out:
				out[[2]string{c.node, c.worker}] = c.far
				if c.zone {
					cut[c.node] = true
				}
			case c.zone: // all that it could not reach are back
				delete(cut, c.node)
				maps.DeleteFunc(out, func(k [2]string, far bool) bool { return k[0] == c.node && far })
			}
			if c := l.changes[next]; !c.out {
				delete(out, [2]string{c.node, c.worker})
			}
		}
		by[at].Standing, by[at].Cut = len(out), len(cut)
		all = append(all, *by[at])
	}
	return all
}

// Crowd is one executor in one second.
type Crowd struct {
	At                   int64
	ID                   string
	Attempts, Full, From int // From: dispatchers that sent
}

// Crowds lists, for the executors that turned most away, what came to each in every second.
func (l *Ledger) Crowds(most int) []Crowd {
	full := Counts{}
	for _, a := range l.attempts {
		if a.result == "full" && !a.order {
			full[a.worker]++
		}
	}
	ids := slices.SortedFunc(maps.Keys(full), func(a, b string) int { return cmp.Or(full[b]-full[a], strings.Compare(a, b)) })
	type key struct {
		id string
		at int64
	}
	crowds, from := map[key]*Crowd{}, map[key]map[string]bool{}
	for _, id := range ids[:min(most, len(ids))] {
		for _, a := range l.attempts {
			if a.worker != id || a.order {
				continue
			}
			k := key{id, a.ended.Unix()}
			if crowds[k] == nil {
				crowds[k], from[k] = &Crowd{At: k.at, ID: id}, map[string]bool{}
			}
			crowds[k].Attempts++
			if a.result == "full" {
				crowds[k].Full++
			}
			from[k][a.node] = true
		}
	}
	var out []Crowd
	for k, c := range crowds {
		c.From = len(from[k])
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Crowd) int {
		return cmp.Or(full[b.ID]-full[a.ID], strings.Compare(a.ID, b.ID), cmp.Compare(a.At, b.At))
	})
	return out
}

// crowded is how many executors are listed second by second.
const crowded = 3

// Report writes the ledger as tables; keep is the time that an idle copy stays loaded.
func (l *Ledger) Report(w io.Writer, keep time.Duration) error {
	begun, needless := l.Loads(keep)
	fmt.Fprintf(w, "%d dispatchers, %d lines, %d not readable; %d loads begun by calls, %d of them needless\n\n",
		len(l.Nodes), l.Lines, l.Skipped, begun, needless)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "second\tattempts\torders\tanswers\tother")
	first := int64(math.MaxInt64)
	for _, at := range slices.Sorted(maps.Keys(l.seconds)) {
		first = min(first, at)
		s := l.seconds[at]
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\n", at-first, s.Attempts, s.Orders, s.Answers, s.Other)
	}
	fmt.Fprintln(tw, "\nsecond\tattempts\tfull\tfirst tries\tsecond\tthird\tfourth\tlater\tejections that stand\tdispatchers with a zone cut off")
	for _, m := range l.Moments() {
		fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", m.At-first, m.Attempts, m.Full, m.Tries[0], m.Tries[1], m.Tries[2], m.Tries[3],
			m.Tries[4], m.Standing, m.Cut)
	}
	fmt.Fprintln(tw, "\nfullest executors\tsecond\tattempts\tfull\tfrom dispatchers")
	for _, c := range l.Crowds(crowded) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\n", c.ID, c.At-first, c.Attempts, c.Full, c.From)
	}
	fmt.Fprintln(tw, "\nexecutor\tfrom\tbusiest 100 ms\tresults\torders\tfailed for\tejected\tmiddle one after")
	for i, x := range l.Workers() {
		if i == shown {
			break
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\t%.1fs\t%d\t%.1fs\n", x.ID, x.From, x.Busiest, x.Results, x.Orders,
			x.FailedFor.Seconds(), x.Ejected, x.Middle.Seconds())
	}
	return tw.Flush()
}

// String lists counts, greatest first.
func (c Counts) String() string {
	keys := slices.SortedFunc(maps.Keys(c), func(a, b string) int { return cmp.Or(c[b]-c[a], strings.Compare(a, b)) })
	parts := make([]string, 0, len(keys))
	for _, k := range keys {
		parts = append(parts, fmt.Sprintf("%s %d", k, c[k]))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}
