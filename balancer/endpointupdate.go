package balancer

// endpointPoller keeps the endpoint list up to date where it has to be polled.
type endpointPoller struct {
	subscribed bool
	nextAt     int64 // earliest time of the next request to the host
}

// pollEndpoints asks the host for the list if it has to be polled. After failures it asks again at
// a bounded rate.
func (b *Balancer) pollEndpoints(now int64) {
	if !b.settings.PollEndpoints || b.poller.subscribed || now < b.poller.nextAt {
		return
	}
	b.poller.nextAt = now + max(b.settings.PollInterval/4, b.shortestObjective)
	b.poller.subscribed = true
	b.host.SubscribeEndpoints()
}

// UpdateEndpoints applies changes of the endpoint list.
func (b *Balancer) UpdateEndpoints(now int64, kind EndpointUpdateKind, endpoints []Endpoint) {
	b.advanceClock(now)
	defer b.armTimer()
	b.poller.received(now, kind)
	for _, endpoint := range endpoints {
		known := b.endpoints.byID[endpoint.Worker]
		restarted := known == nil || endpoint.Start > 0 && endpoint.Start != known.Start
		worker := b.endpoints.apply(b.now, endpoint)
		b.leases.keeper.ApplyListEntry(&worker.lease, endpoint.State == Active, restarted)
		b.slowStart.track(b.now, worker)
	}
	if kind == EndpointsSnapshot || kind == EndpointsCached {
		b.endpoints.retain(endpoints)
	}
	b.endpoints.dropUnlisted()
	b.updateUnseenCheckPolicy()
	b.pruneActive(now)
	b.pollEndpoints(now)
	b.recheckUnsentRequests(now)
}

// received records the outcome of a poll. A cached list does not end the wait for a current one.
func (p *endpointPoller) received(now int64, kind EndpointUpdateKind) {
	if kind == EndpointsUnavailable {
		p.subscribed = false
		return
	}
	p.nextAt = now
	p.subscribed = p.subscribed || kind != EndpointsCached
}

// recheckUnsentRequests makes the requests that wait for a worker due for a new check as soon as
// their timers fire.
func (b *Balancer) recheckUnsentRequests(now int64) {
	for _, entry := range b.timers.entries {
		if request := entry.request; request != nil && len(request.attempts) == 0 && !request.done {
			request.recheckAt = now
		}
	}
}
