package endpoints

import (
	"fmt"

	"oakthread/balancer"
)

// Actions are the side effects that a List asks its owner to carry out. Publications are applied in
// order.
type Actions struct {
	Publish []Publication
	Probe   []Endpoint // to be health checked; each result is returned by one call of the method for health checks
	Save    bool       // the list has changed and is to be saved
	Urgent  bool       // an endpoint drains or was removed: the list is to be saved at once
	Log     []string
}

// Publication is a change of the list for the load balancer.
type Publication struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

// TakeActions returns the actions that accumulated since the previous call.
func (l *List) TakeActions() Actions {
	actions := l.pending
	l.pending = Actions{}
	return actions
}

func (l *List) log(format string, args ...any) {
	l.pending.Log = append(l.pending.Log, fmt.Sprintf(format, args...))
}

// requestSave has the list saved, at once where urgent is set.
func (l *List) requestSave(urgent bool) {
	l.pending.Save = true
	l.pending.Urgent = l.pending.Urgent || urgent
}
