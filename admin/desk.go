// Package service decides what the operators ask of a running dispatcher: which executors are taken out by hand, and
// whether the dispatcher is in service. Desk is a state machine: news of the list and the operators' calls come in,
// and what the core is to be told goes out.
//
// It owns no socket, clock, file or goroutine, and never chooses an executor for a call: that stays in decide. A ban
// only tells the core that an executor drains, which decide already obeys for sends, retries and orders.
package admin

import (
	"maps"
	"slices"
	"time"

	"oakthread"
	"oakthread/balancer"
)

// State is the operators' side of one dispatcher. Its zero value is in service, with no executor listed or banned.
type State struct {
	listed map[balancer.WorkerID]oakthread.Endpoint // as the list tells it, before any ban
	banned map[balancer.WorkerID]bool
	out    bool
}

// UpdateEndpoints takes news of the list and returns it as the core is to hear it: a banned executor drains, whatever the list
// says of it.
func (d *State) UpdateEndpoints(r oakthread.EndpointUpdate) oakthread.EndpointUpdate {
	if d.listed == nil {
		d.listed = map[balancer.WorkerID]oakthread.Endpoint{}
	}
	if r.Kind == balancer.EndpointsSnapshot || r.Kind == balancer.EndpointsCached {
		clear(d.listed)
	}
	told := oakthread.EndpointUpdate{Kind: r.Kind, Endpoints: make([]oakthread.Endpoint, 0, len(r.Endpoints))}
	for _, m := range r.Endpoints {
		if m.State == balancer.Removed {
			delete(d.listed, m.ID)
		} else {
			d.listed[m.ID] = m
		}
		told.Endpoints = append(told.Endpoints, d.seen(m))
	}
	return told
}

// seen is a member as the core is to see it.
func (d *State) seen(m oakthread.Endpoint) oakthread.Endpoint {
	if d.banned[m.ID] && m.State == balancer.Active {
		m.State = balancer.Draining
	}
	return m
}

// Eject bans an executor until Online. ok is false for an id that is neither listed nor banned: nothing changes.
// A second Offline changes nothing. news is what the core is to hear; it is empty where the executor is not listed.
func (d *State) Eject(id balancer.WorkerID) (news oakthread.EndpointUpdate, ok bool) {
	if _, listed := d.listed[id]; !listed && !d.banned[id] {
		return news, false
	}
	return d.ban(id), true
}

// Restore lifts a ban, however many Offline calls came before. The executor was restarted meanwhile: the core hears
// it as started at now, so that nothing is believed loaded there. ok is false for an id that is neither listed nor
// banned.
func (d *State) Restore(id balancer.WorkerID, now time.Time) (news oakthread.EndpointUpdate, ok bool) {
	m, listed := d.listed[id]
	if !listed && !d.banned[id] {
		return news, false
	}
	was := d.banned[id]
	delete(d.banned, id)
	news.Kind = balancer.EndpointsDelta
	if listed && was {
		m.Start = now
		d.listed[id] = m
		news.Endpoints = []oakthread.Endpoint{m}
	}
	return news, true
}

// Keep makes the bans those kept by another process, such as the version before an upgrade or the one beside it:
// kept ids are banned, and bans that it called back are lifted, as Online at now.
func (d *State) Keep(kept []balancer.WorkerID, now time.Time) (news oakthread.EndpointUpdate) {
	news.Kind = balancer.EndpointsDelta
	for _, id := range kept {
		if !d.banned[id] {
			news.Endpoints = append(news.Endpoints, d.ban(id).Endpoints...)
		}
	}
	for _, id := range d.Banned() {
		if !slices.Contains(kept, id) {
			n, _ := d.Restore(id, now)
			news.Endpoints = append(news.Endpoints, n.Endpoints...)
		}
	}
	return news
}

// ban puts a ban in force; news tells the core of a listed executor.
func (d *State) ban(id balancer.WorkerID) (news oakthread.EndpointUpdate) {
	if d.banned == nil {
		d.banned = map[balancer.WorkerID]bool{}
	}
	d.banned[id] = true
	news.Kind = balancer.EndpointsDelta
	if m, ok := d.listed[id]; ok {
		news.Endpoints = []oakthread.Endpoint{d.seen(m)}
	}
	return news
}

// Banned lists the bans in force, in order of id.
func (d *State) Banned() []balancer.WorkerID {
	return slices.Sorted(maps.Keys(d.banned))
}

// Members counts the listed executors, and those of them that are avoided: banned, draining by the list, or among
// ejected, those that the module avoids by its own choice.
func (d *State) Members(ejected []balancer.WorkerID) (listed, unavailable int) {
	for id, m := range d.listed {
		listed++
		if d.banned[id] || m.State != balancer.Active || slices.Contains(ejected, id) {
			unavailable++
		}
	}
	return listed, unavailable
}

// OutOfService has the dispatcher say no to the front's readiness question until InService.
func (d *State) OutOfService() { d.out = true }

// InService undoes OutOfService.
func (d *State) InService() { d.out = false }

// Ready tells whether the front may send clients: the core has a list, and the operators have not taken the
// dispatcher out of service.
func (d *State) Ready(coreReady bool) bool { return coreReady && !d.out }
