package loganalysis

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the length of a line beyond which it is skipped.
const maxLineBytes = 1 << 20

// Messages of the log lines that are counted.
const (
	msgAttemptEnded   = "attempt ended"
	msgLoadOrderEnded = "order ended"
	msgCallEnded      = "settled"
	msgDialed         = "dialed"
	msgWorkerPrefix   = "worker " // begins the lines on ejections and recoveries
)

// attempt is an attempt of a call or a load order that has ended.
type attempt struct {
	dispatcher, worker, function string
	number                       int // of the call's attempts, from 0
	started, ended               time.Time
	result                       string
	hitLoadedModel               bool // the worker had the model loaded
	loadedModel                  bool // the attempt made the worker load the model
	isLoadOrder                  bool
}

// ejectionChange is an ejection of a worker by a dispatcher, or the end of one.
type ejectionChange struct {
	at                 time.Time
	dispatcher, worker string
	ejected            bool
	unreachable        bool // it was ejected because it cannot be reached
	zone               bool // with all workers of the zone that the dispatcher cannot reach
}

// secondCounts are the events of one second at all dispatchers.
type secondCounts struct{ attempts, loadOrders, calls, other Counts }

// FleetLog holds the events of a fleet. The zero value is ready to use.
type FleetLog struct {
	Lines, Skipped int             // lines read, and those of them that could not be parsed
	Dispatchers    map[string]bool // names of the dispatchers
	attempts       []attempt
	seconds        map[int64]*secondCounts // by Unix second
	ejections      map[string][]time.Time  // by worker
	changes        []ejectionChange
}

// Read reads the log of one dispatcher, in slog's text or JSON form. name is the dispatcher's name
// if its lines do not state it. The error is that of r; lines that are cut, garbled or too long are
// skipped.
func (l *FleetLog) Read(name string, r io.Reader) error {
	if l.Dispatchers == nil {
		l.Dispatchers = map[string]bool{}
		l.seconds = map[int64]*secondCounts{}
		l.ejections = map[string][]time.Time{}
	}
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		line, err := in.ReadString('\n')
		if line = strings.TrimSpace(line); line != "" {
			l.Lines++
			if len(line) > maxLineBytes || !l.addLine(name, line) {
				l.Skipped++
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("log of %s: %w", name, err)
		}
	}
}

// addLine adds the event of one line and reports whether the line could be parsed.
func (l *FleetLog) addLine(name, line string) bool {
	fields := parseFields(line)
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	message := fields["msg"]
	if err != nil || message == "" {
		return false
	}
	dispatcher := cmp.Or(fields["name"], name)
	l.Dispatchers[dispatcher] = true
	second := l.second(at)
	switch {
	case message == msgAttemptEnded || message == msgLoadOrderEnded:
		a, ok := parseAttempt(fields, dispatcher, at)
		if ok {
			l.addAttempt(second, a)
		}
		return ok
	case message == msgCallEnded:
		outcome := fields["outcome"]
		if outcome == "" {
			return false
		}
		second.calls[outcome]++
	case message == msgDialed:
		second.other["dials"]++
	case strings.HasPrefix(message, msgWorkerPrefix):
		l.addEjectionChange(second, message, dispatcher, at)
	}
	return true
}

// second returns the counts of the second of t.
func (l *FleetLog) second(t time.Time) *secondCounts {
	s := l.seconds[t.Unix()]
	if s == nil {
		s = &secondCounts{Counts{}, Counts{}, Counts{}, Counts{}}
		l.seconds[t.Unix()] = s
	}
	return s
}

// parseAttempt returns the attempt or load order that a line states, and false if a field is
// missing or not a number.
func parseAttempt(fields map[string]string, dispatcher string, ended time.Time) (attempt, bool) {
	ms, err := strconv.ParseInt(fields["ms"], 10, 64)
	if err != nil || ms < 0 || fields["worker"] == "" || fields["result"] == "" {
		return attempt{}, false
	}
	number, err := strconv.Atoi(cmp.Or(fields["n"], "0"))
	if err != nil || number < 0 {
		return attempt{}, false
	}
	a := attempt{
		dispatcher:  dispatcher,
		worker:      fields["worker"],
		function:    fields["fn"],
		number:      number,
		started:     ended.Add(-time.Duration(ms) * time.Millisecond),
		ended:       ended,
		result:      fields["result"],
		isLoadOrder: fields["msg"] == msgLoadOrderEnded,
	}
	if !a.isLoadOrder && a.result == "ok" {
		a.hitLoadedModel = fields["note"] == "1"
		a.loadedModel = fields["note"] == "2"
	}
	return a, true
}

func (l *FleetLog) addAttempt(second *secondCounts, a attempt) {
	if a.isLoadOrder {
		second.loadOrders[a.result]++
	} else {
		second.attempts[a.result]++
	}
	l.attempts = append(l.attempts, a)
}

// addEjectionChange adds the ejection or recovery that a line about a worker reports. The message
// names the worker; messages about a worker that report neither are ignored.
func (l *FleetLog) addEjectionChange(second *secondCounts, message, dispatcher string, at time.Time) {
	worker, _, _ := strings.Cut(strings.TrimPrefix(message, msgWorkerPrefix), " ")
	change := ejectionChange{at: at, dispatcher: dispatcher, worker: worker}
	switch {
	case strings.Contains(message, " ejected"):
		change.ejected = true
		change.unreachable = strings.Contains(message, "cannot be reached")
		change.zone = strings.Contains(message, "cut off")
		l.ejections[worker] = append(l.ejections[worker], at)
		second.other["ejections"]++
	case strings.Contains(message, " back"):
		change.zone = strings.Contains(message, "zone")
	default:
		return
	}
	l.changes = append(l.changes, change)
}
