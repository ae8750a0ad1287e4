package endpoints

import (
	"fmt"

	"oakthread/balancer"
)

// Actions are what a List wants done. Publish goes to the decision module, in order.
type Actions struct {
	Publish []Publication
	Probe   []Endpoint
	Save    bool // the list has changed: write it some time
	Urgent  bool // a box drains or is gone: write it now
	Log     []string
}

// Publication is a change of the list as the decision module sees it.
type Publication struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

// TakeActions returns what is to be done since the last call.
func (l *List) TakeActions() Actions {
	a := l.pending
	l.pending = Actions{}
	return a
}

func (l *List) log(format string, args ...any) {
	l.pending.Log = append(l.pending.Log, fmt.Sprintf(format, args...))
}
