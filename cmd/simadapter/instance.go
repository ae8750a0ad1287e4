package main

import (
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// instance is one simulated dispatcher: a balancer whose actions are written in the simulator's
// line protocol.
type instance struct {
	balancer *balancer.Balancer
	name     string
	out      *wire.Writer
}

var _ balancer.Host = (*instance)(nil)

// SendAttempt writes that a request is sent to a worker. If until is 0, the attempt may take until
// the deadline of the request.
func (i *instance) SendAttempt(id string, worker balancer.WorkerID, until int64) {
	i.out.Open("pass_on", i.name).Str("xid", id).Int("runner", int64(worker))
	if until > 0 {
		i.out.Int("try_until_ns", until)
	}
	i.out.End()
}

// CancelAttempt writes that an attempt is cancelled.
func (i *instance) CancelAttempt(id string, attempt int) {
	i.out.Open("abort_attempt", i.name).Str("xid", id).Int("trial", int64(attempt)).End()
}

// Reject writes that a request is rejected; wait is the Retry-After in nanoseconds.
func (i *instance) Reject(id string, wait int64) {
	i.out.Open("shed", i.name).Str("xid", id).Int("wait_ns", wait).End()
}

// Fail writes that a request has failed.
func (i *instance) Fail(id string) {
	i.out.Open("lose", i.name).Str("xid", id).End()
}

// OrderLoad writes an order to keep the given number of copies of a function loaded.
func (i *instance) OrderLoad(worker balancer.WorkerID, function balancer.FuncID, copies int) {
	i.out.Open("keep_loaded", i.name).Fn(uint64(function))
	i.out.Int("how_many", int64(copies)).Int("runner", int64(worker)).End()
}

// OrderUnload writes an order to unload a function.
func (i *instance) OrderUnload(worker balancer.WorkerID, function balancer.FuncID) {
	i.out.Open("unmount", i.name).Fn(uint64(function)).Int("runner", int64(worker)).End()
}

// HealthCheck writes a health check of a worker.
func (i *instance) HealthCheck(worker balancer.WorkerID) {
	i.out.Open("probe", i.name).Int("runner", int64(worker)).End()
}

// SendPeerMessage writes a message to another dispatcher by its index, or to all if to is negative.
func (i *instance) SendPeerMessage(to int, data string) {
	i.out.Open("write_peer", i.name)
	if to < 0 {
		i.out.Str("peer", "*")
	} else {
		i.out.Int("peer", int64(to))
	}
	i.out.Str("data", data).End()
}

// CountTowardLoadQuota does nothing: the simulator keeps its own count.
func (i *instance) CountTowardLoadQuota(int64) {}

// SetTimer writes that a timer is set; the delay is in nanoseconds.
func (i *instance) SetTimer(delay, ref int64) {
	i.out.Open("sleep", i.name).Int("offset_ns", delay).Int("ref", ref).End()
}

// SubscribeEndpoints writes a subscription to the endpoint list.
func (i *instance) SubscribeEndpoints() {
	i.out.Open("tail", i.name)
	i.out.Buf = append(i.out.Buf, `,"enable":true`...)
	i.out.End()
}

// Log writes a line for the simulator's log.
func (i *instance) Log(text string) {
	i.out.Open("emit", i.name).Str("text", text).End()
}
