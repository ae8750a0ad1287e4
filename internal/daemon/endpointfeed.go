package daemon

import (
	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/platform"
)

// endpointFeed passes what the watch brings to its handler, and tells the core when discovery has
// confirmed the endpoint list. It is used from the watch goroutine alone.
type endpointFeed struct {
	platform.EndpointHandler

	core      *oakthread.Core
	confirmed bool // the first full list has been passed on
}

// newEndpointFeed returns a feed of a handler and the core.
func newEndpointFeed(handler platform.EndpointHandler, core *oakthread.Core) *endpointFeed {
	return &endpointFeed{EndpointHandler: handler, core: core}
}

// HandleUpdate passes on a change. The first full list counts as confirmed: the platform's
// configuration has every event up to the start.
func (f *endpointFeed) HandleUpdate(update oakthread.EndpointUpdate, epoch string, cursor int64) {
	f.EndpointHandler.HandleUpdate(update, epoch, cursor)
	if !f.confirmed && update.Kind == balancer.EndpointsSnapshot {
		f.confirmed = true
		f.core.ConfirmEndpoints()
	}
}

// HandleHeartbeat passes on that discovery has no further change.
func (f *endpointFeed) HandleHeartbeat() {
	f.EndpointHandler.HandleHeartbeat()
	f.core.ConfirmEndpoints()
}
