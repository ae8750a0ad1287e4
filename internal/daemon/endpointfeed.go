package daemon

import (
	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/platform"
)

// endpointFeed passes the events of the endpoint watch to its handler, and tells the core when
// service discovery has confirmed the endpoint list. Only the watch goroutine uses it.
type endpointFeed struct {
	platform.EndpointHandler

	core      *oakthread.Core
	confirmed bool // the first full list has been passed on
}

// newEndpointFeed returns a feed for a handler and the core.
func newEndpointFeed(handler platform.EndpointHandler, core *oakthread.Core) *endpointFeed {
	return &endpointFeed{EndpointHandler: handler, core: core}
}

// HandleUpdate passes on a change. The first full list counts as confirmed, because the platform's
// configuration contains every event up to the start.
func (f *endpointFeed) HandleUpdate(update oakthread.EndpointUpdate, epoch string, cursor int64) {
	f.EndpointHandler.HandleUpdate(update, epoch, cursor)
	if !f.confirmed && update.Kind == balancer.EndpointsSnapshot {
		f.confirmed = true
		f.core.ConfirmEndpoints()
	}
}

// HandleHeartbeat passes on a heartbeat, by which service discovery confirms the endpoint list.
func (f *endpointFeed) HandleHeartbeat() {
	f.EndpointHandler.HandleHeartbeat()
	f.core.ConfirmEndpoints()
}
