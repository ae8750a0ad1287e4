package endpoints

import (
	"log/slog"

	"oakthread/balancer"
)

// Actions are the side effects that a List asks its owner to carry out. Publications must be
// applied in order.
type Actions struct {
	Publications []Publication
	HealthChecks []Endpoint // endpoints to check; the list expects one HandleHealthCheck for each
	Save         bool       // the list has changed and must be saved
	SaveUrgently bool       // the list must be saved without delay: an endpoint drains or was removed
	Log          []LogEvent
}

// Publication is an update of the endpoint list for the load balancer.
type Publication struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

// LogEvent is a line for the log: a constant message and the attributes of the event.
type LogEvent struct {
	Message string
	Attrs   []slog.Attr
}

// TakeActions returns and clears the actions that have accumulated since the previous call.
func (l *List) TakeActions() Actions {
	actions := l.pending
	l.pending = Actions{}
	return actions
}

// log appends an event to the pending log lines.
func (l *List) log(message string, attrs ...slog.Attr) {
	l.pending.Log = append(l.pending.Log, LogEvent{Message: message, Attrs: attrs})
}

// requestSave adds a save of the list to the pending actions, without delay if urgent is set.
func (l *List) requestSave(urgent bool) {
	l.pending.Save = true
	l.pending.SaveUrgently = l.pending.SaveUrgently || urgent
}
