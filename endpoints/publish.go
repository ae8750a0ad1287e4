package endpoints

import (
	"oakthread/balancer"
)

// usable tells whether the module may be given a box. A box that never answered in this life gets probes alone: a
// booking sent to a silent address would be lost.
func (l *List) usable(e *entry) bool {
	switch e.proof {
	case Reported, Verified:
		return true
	case Suspect:
		return e.listed
	case Draining:
		return e.listed || l.live
	}
	return false
}

// publish tells the module what has changed in its view of the list, publishOne of one box.
func (l *List) publish() {
	for _, e := range l.order {
		l.publishOne(e)
	}
}

func (l *List) publishOne(e *entry) {
	if !l.usable(e) {
		if e.listed {
			off := e.shown
			off.State = balancer.Removed
			l.put(off)
			e.listed = false
		}
		return
	}
	b := e.Endpoint
	if e.proof == Draining {
		b.State = balancer.Draining
	}
	b.Weight *= l.gate.weight(e)
	if s := e.shown; !e.listed || s.Addr != b.Addr || s.State != b.State || s.Weight != b.Weight || !s.Start.Equal(b.Start) ||
		s.Zone != b.Zone || s.Kind != b.Kind || s.Cell != b.Cell {
		l.put(b)
		e.listed, e.shown = true, b
	}
}

// show puts an entry's state out at once, as where it has gone.
func (l *List) show(e *entry) {
	l.put(e.Endpoint)
	e.listed = false
}

// put adds a box to the change that is being made. The first list of all is a whole one.
func (l *List) put(b Endpoint) {
	if n := len(l.out.Publish); n > 0 {
		p := &l.out.Publish[n-1]
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
	if !l.began {
		kind = balancer.EndpointsCached
		if l.live {
			kind = balancer.EndpointsSnapshot
		}
	}
	l.out.Publish = append(l.out.Publish, Publication{Kind: kind, Endpoints: []Endpoint{b}})
	l.began = true
}
