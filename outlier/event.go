package outlier

import "fmt"

// EventKind is a change of the state of a worker or of its zone.
type EventKind uint8

// Kinds of events.
const (
	EventNone               EventKind = iota // nothing has changed
	EventEjectedFailing                      // too many of its recent calls failed
	EventEjectedUnreachable                  // a connection to it was never established
	EventZonePartitioned                     // the same, and its zone is now considered partitioned
	EventEjectedByGossip                     // it failed calls of other dispatchers
	EventRestoredServing                     // it serves calls of this dispatcher again
	EventRestoredReachable                   // it responds again
	EventZoneRestored                        // it responds again, which ends the partition of its zone
	EventRestoredByGossip                    // it serves calls of other dispatchers again
)

// Event is a change in the state of a worker caused by one observation, with the evidence for it.
// The zero value is no change.
type Event struct {
	Kind           EventKind
	FailurePercent int // decaying mean of failed calls, 0 to 100: EventEjectedFailing, EventRestoredServing
	Zone           int // EventZonePartitioned, EventZoneRestored
	Unreachable    int // consecutive unreachable workers of the zone: EventZonePartitioned
	Agreeing       int // observers that agree with the event: EventEjectedByGossip, EventRestoredByGossip
	Observers      int // observers counted in the evidence: same kinds as Agreeing
}

// IsZero reports whether the event is no change.
func (e Event) IsZero() bool { return e.Kind == EventNone }

// String returns the text of the event in the log, empty for EventNone.
func (e Event) String() string {
	switch e.Kind {
	case EventNone:
		return ""
	case EventEjectedFailing:
		return fmt.Sprintf("ejected: %d%% of late calls failed", e.FailurePercent)
	case EventEjectedUnreachable:
		return "ejected: it cannot be reached"
	case EventZonePartitioned:
		const format = "ejected with zone %d, which is cut off: %d executors in a row cannot be reached"
		return fmt.Sprintf(format, e.Zone, e.Unreachable)
	case EventEjectedByGossip:
		return fmt.Sprintf("left out by words: %d of %d observers were not served", e.Agreeing, e.Observers)
	case EventRestoredServing:
		return fmt.Sprintf("back: %d%% of late calls failed", e.FailurePercent)
	case EventRestoredReachable:
		return "back: it can be reached"
	case EventZoneRestored:
		return fmt.Sprintf("back, and with it zone %d: it can be reached", e.Zone)
	case EventRestoredByGossip:
		return fmt.Sprintf("back by words: %d of %d observers were served", e.Agreeing, e.Observers)
	}
	return fmt.Sprintf("EventKind(%d)", e.Kind)
}
