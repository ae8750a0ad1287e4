package main

import (
	"errors"
	"fmt"
	"strconv"

	"oakthread/balancer"
	"oakthread/internal/wire"
)

// results are the results of attempts, health checks and load orders by their names on the wire.
var results = map[string]balancer.Result{
	"delivered":   balancer.OK,
	"app_error":   balancer.Error,
	"shed":        balancer.QueueFull,
	"expired":     balancer.Timeout,
	"dial_failed": balancer.ConnectFailed,
	"dropped":     balancer.Reset,
	"revoked":     balancer.Cancelled,
	"unused":      balancer.NotSent,
	"empty":       balancer.NotLoaded,
}

// updateKinds are the kinds of endpoint updates by their names on the wire.
var updateKinds = map[string]balancer.EndpointUpdateKind{
	"delta":  balancer.EndpointsDelta,
	"full":   balancer.EndpointsSnapshot,
	"cached": balancer.EndpointsCached,
	"failed": balancer.EndpointsUnavailable,
}

// The info field of an attempt's end holds the warmth in its low bits and the number of concurrent
// requests above them.
const (
	warmthBits = 3
	warmthMask = 1<<warmthBits - 1
)

// nanosPerMilli converts milliseconds on the wire to nanoseconds.
const nanosPerMilli = 1e6

// parseResult returns the result with the given name on the wire. An unknown name gives no
// information and counts as an error of the worker.
func parseResult(name string) balancer.Result {
	if result, ok := results[name]; ok {
		return result
	}
	return balancer.Error
}

// parseState returns the state of an endpoint with the given readiness. Unknown values count as
// removed.
func parseState(readiness string) balancer.EndpointState {
	switch readiness {
	case "on":
		return balancer.Active
	case "fading":
		return balancer.Draining
	}
	return balancer.Removed
}

// handleClock sets the simulated time of the events that follow.
func (s *session) handleClock(e *wire.Clock) error {
	if e.Now == nil {
		return errors.New("clock: field sim_time_ns is missing")
	}
	s.now = *e.Now
	return nil
}

// handleEndpointList defines a list that later updates refer to by its number.
func (s *session) handleEndpointList(e *wire.DefineList) error {
	endpoints := make([]balancer.Endpoint, 0, len(e.Entries))
	for i, entry := range e.Entries {
		if entry.Runner == nil {
			return fmt.Errorf("define_list: entries[%d]: field runner is missing", i)
		}
		endpoints = append(endpoints, balancer.Endpoint{
			Worker: balancer.WorkerID(*entry.Runner),
			Zone:   entry.Hall,
			Kind:   entry.HW,
			Cell:   entry.Block,
			State:  parseState(entry.Readiness),
			Weight: entry.Nominal,
			Start:  entry.UpSince,
		})
	}
	s.lists[e.Bank] = endpoints
	return nil
}

// handleBoot starts an instance and replaces an earlier one of the same name.
func (s *session) handleBoot(e *wire.Boot) error {
	setup, err := wire.ReadSettings(e.Setup)
	if err != nil {
		return fmt.Errorf("boot: field setup: %w", err)
	}
	i := &instance{name: e.Who, out: &s.reply}
	i.balancer, err = balancer.New(s.now, setup.BalancerSettings(), e.Seed, i)
	if err != nil {
		return fmt.Errorf("boot: field setup: %w", err)
	}
	s.instances[e.Who] = i
	return nil
}

// handleEndpointUpdate passes a defined list, or the information that no list is available, to an
// instance.
func (s *session) handleEndpointUpdate(e *wire.Sync) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	kind, ok := updateKinds[e.Kind]
	if !ok {
		return fmt.Errorf("sync: field kind: unknown %q", e.Kind)
	}
	if kind == balancer.EndpointsUnavailable {
		target.UpdateEndpoints(s.now, kind, nil)
		return nil
	}
	endpoints, ok := s.lists[e.Bank]
	if !ok {
		return fmt.Errorf("sync: field bank: unknown list %d", e.Bank)
	}
	target.UpdateEndpoints(s.now, kind, endpoints)
	return nil
}

// handleRequest passes a request of a client to an instance.
func (s *session) handleRequest(e *wire.Demand) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	function, err := strconv.ParseUint(e.Fn, 16, 64)
	if err != nil && e.Fn != "" {
		return fmt.Errorf("demand: field target_fn: %q is not a function id", e.Fn)
	}
	target.HandleRequest(s.now, balancer.Request{
		ID:          e.ID,
		Class:       e.Kind,
		Tenant:      e.Group,
		Func:        balancer.FuncID(function),
		Deadline:    e.ValidUntil,
		MemoryMB:    e.MemoryMB,
		Concurrency: int(e.Lanes),
		LoadTime:    int64(e.LoadMS * nanosPerMilli),
		Retry:       e.Repeat,
	})
	return nil
}

// handleTimer passes the expiry of a timer to an instance.
func (s *session) handleTimer(e *wire.Bell) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	target.HandleTimer(s.now, e.Ref)
	return nil
}

// handleFirstByte passes the first byte of a response to an instance.
func (s *session) handleFirstByte(e *wire.FirstByte) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	target.HandleFirstByte(s.now, e.ID, e.Trial)
	return nil
}

// handleAttemptResult passes the end of an attempt to an instance.
func (s *session) handleAttemptResult(e *wire.AttemptEnd) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	target.HandleAttemptResult(s.now, balancer.AttemptResult{
		ID:                 e.ID,
		Attempt:            e.Trial,
		Worker:             balancer.WorkerID(e.Runner),
		Result:             parseResult(e.How),
		Finished:           e.Finished,
		Warmth:             balancer.Warmth(e.Info & warmthMask),
		ConcurrentRequests: e.Info >> warmthBits,
		RTT:                e.RTT,
		Report:             e.Load,
	})
	return nil
}

// handleHealthCheck passes the result of a health check to an instance.
func (s *session) handleHealthCheck(e *wire.Pong) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	target.HandleHealthCheck(s.now, balancer.WorkerID(e.Runner), parseResult(e.How), e.RTT, e.Load)
	return nil
}

// handlePeerMessage passes a message from another instance to an instance.
func (s *session) handlePeerMessage(e *wire.NoteFrom) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	target.HandlePeerMessage(s.now, e.Sender, e.Data)
	return nil
}

// handleLoadResult passes the result of a load order to an instance.
func (s *session) handleLoadResult(e *wire.Warmed) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	function, err := strconv.ParseUint(e.Fn, 16, 64)
	if err != nil {
		return fmt.Errorf("warmed: field target_fn: %q is not a function id", e.Fn)
	}
	worker, result := balancer.WorkerID(e.Runner), parseResult(e.How)
	target.HandleLoadResult(s.now, worker, balancer.FuncID(function), e.HowMany, result)
	return nil
}

// handleClientGone passes the disconnection of a client to an instance.
func (s *session) handleClientGone(e *wire.Vanished) error {
	target, err := s.balancer(e.Who)
	if err != nil {
		return err
	}
	target.HandleClientGone(s.now, e.ID)
	return nil
}
