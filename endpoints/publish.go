package endpoints

import "oakthread/balancer"

// isUsable reports whether the endpoint may be published to the load balancer. A worker from a
// cached list gets health checks only until it answers, since a request sent to an address without
// a worker would be lost.
func (l *List) isUsable(entry *listEntry) bool {
	switch entry.verification {
	case Reported, Verified:
		return true
	case Suspect:
		return entry.isPublished
	case Draining:
		return entry.isPublished || l.watch.live
	case Unverified, Excluded:
		return false
	}
	return false
}

// publishAll calls publishChange for every endpoint.
func (l *List) publishAll() {
	for _, entry := range l.sorted {
		l.publishChange(entry)
	}
}

// publishChange publishes an endpoint if a field that the load balancer uses has changed, and its
// removal if it is no longer usable.
func (l *List) publishChange(entry *listEntry) {
	if !l.isUsable(entry) {
		if entry.isPublished {
			removed := entry.published
			removed.State = balancer.Removed
			l.appendPublication(removed)
			entry.isPublished = false
		}
		return
	}
	endpoint := entry.Endpoint
	if entry.verification == Draining {
		endpoint.State = balancer.Draining
	}
	endpoint.Weight *= l.slowStart.weightFactor(entry)
	if !entry.isPublished || !isSameForBalancer(entry.published, endpoint) {
		l.appendPublication(endpoint)
		entry.isPublished, entry.published = true, endpoint
	}
}

// isSameForBalancer reports whether two versions of an endpoint are equal in all fields that the
// load balancer uses.
func isSameForBalancer(a, b Endpoint) bool {
	return a.Addr == b.Addr && a.State == b.State && a.Weight == b.Weight && a.Start.Equal(b.Start) &&
		a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell
}

// publishRemoval publishes an entry that is being removed from the list.
func (l *List) publishRemoval(entry *listEntry) {
	l.appendPublication(entry.Endpoint)
	entry.isPublished = false
}

// appendPublication adds an endpoint to the pending publication, replacing an earlier version of
// the same endpoint. The first publication is a complete list.
func (l *List) appendPublication(endpoint Endpoint) {
	if count := len(l.pending.Publications); count > 0 {
		l.pending.Publications[count-1].put(endpoint)
		return
	}
	publication := Publication{Kind: l.publicationKind(), Endpoints: []Endpoint{endpoint}}
	l.pending.Publications = append(l.pending.Publications, publication)
	l.hasPublished = true
}

// publicationKind returns the kind of the next publication.
func (l *List) publicationKind() balancer.EndpointUpdateKind {
	switch {
	case l.hasPublished:
		return balancer.EndpointsDelta
	case l.watch.live:
		return balancer.EndpointsSnapshot
	default:
		return balancer.EndpointsCached
	}
}

// put adds an endpoint to the publication or replaces its earlier version.
func (p *Publication) put(endpoint Endpoint) {
	for i := range p.Endpoints {
		if p.Endpoints[i].ID == endpoint.ID {
			p.Endpoints[i] = endpoint
			return
		}
	}
	p.Endpoints = append(p.Endpoints, endpoint)
}
