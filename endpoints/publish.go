package endpoints

import (
	"oakthread/balancer"
)

// isUsable tells whether the module may be given a box. A box that never answered in this life gets probes alone: a
// booking sent to a silent address would be lost.
func (l *List) isUsable(e *entry) bool {
	switch e.verification {
	case Reported, Verified:
		return true
	case Suspect:
		return e.isPublished
	case Draining:
		return e.isPublished || l.live
	}
	return false
}

// publishAll tells the module what has changed in its view of the list, publishOne of one box.
func (l *List) publishAll() {
	for _, e := range l.sorted {
		l.publishChange(e)
	}
}

func (l *List) publishChange(e *entry) {
	if !l.isUsable(e) {
		if e.isPublished {
			off := e.published
			off.State = balancer.Removed
			l.appendPublication(off)
			e.isPublished = false
		}
		return
	}
	b := e.Endpoint
	if e.verification == Draining {
		b.State = balancer.Draining
	}
	b.Weight *= l.slowStart.weightFactor(e)
	if s := e.published; !e.isPublished || s.Addr != b.Addr || s.State != b.State || s.Weight != b.Weight || !s.Start.Equal(b.Start) ||
		s.Zone != b.Zone || s.Kind != b.Kind || s.Cell != b.Cell {
		l.appendPublication(b)
		e.isPublished, e.published = true, b
	}
}

// publishRemoval puts an entry's state out at once, as where it has gone.
func (l *List) publishRemoval(e *entry) {
	l.appendPublication(e.Endpoint)
	e.isPublished = false
}

// appendPublication adds a box to the change that is being made. The first list of all is a whole one.
func (l *List) appendPublication(b Endpoint) {
	if n := len(l.pending.Publish); n > 0 {
		p := &l.pending.Publish[n-1]
		for i := range p.Endpoints {
			if p.Endpoints[i].ID == b.ID {
				p.Endpoints[i] = b
				return
			}
		}
		p.Endpoints = append(p.Endpoints, b)
		return
	}
	kind := balancer.EndpointsDelta
	if !l.hasPublished {
		kind = balancer.EndpointsCached
		if l.live {
			kind = balancer.EndpointsSnapshot
		}
	}
	l.pending.Publish = append(l.pending.Publish, Publication{Kind: kind, Endpoints: []Endpoint{b}})
	l.hasPublished = true
}
