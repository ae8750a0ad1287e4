package endpoints

import (
	"log/slog"

	"oakthread/balancer"
)

// Actions are the side effects that a List asks its owner to carry out. Publications are applied in
// order.
type Actions struct {
	Publications []Publication
	HealthChecks []Endpoint // to be health checked; the list expects one result for each
	Save         bool       // the list has changed and is to be saved
	SaveUrgently bool       // an endpoint drains or was removed: the list is to be saved at once
	Log          []LogEvent
}

// Publication is a change of the list for the load balancer.
type Publication struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

// LogEvent is a line for the log: a constant message that names the event, and its attributes.
type LogEvent struct {
	Message string
	Attrs   []slog.Attr
}

// TakeActions returns the actions that accumulated since the previous call.
func (l *List) TakeActions() Actions {
	actions := l.pending
	l.pending = Actions{}
	return actions
}

// log appends an event to the pending log lines.
func (l *List) log(message string, attrs ...slog.Attr) {
	l.pending.Log = append(l.pending.Log, LogEvent{Message: message, Attrs: attrs})
}

// requestSave has the list saved, at once where urgent is set.
func (l *List) requestSave(urgent bool) {
	l.pending.Save = true
	l.pending.SaveUrgently = l.pending.SaveUrgently || urgent
}
