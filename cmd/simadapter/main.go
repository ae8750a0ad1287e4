// Command simadapter hosts one Dispatcher an instance on the simulator's wire. It translates and decides nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"

	"oakthread/balancer"
	"oakthread/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

type instance struct {
	d   *balancer.Balancer
	who string
	out *wire.Writer
}

func (h *instance) SendAttempt(id string, w balancer.WorkerID, until int64) {
	h.out.Open("pass_on", h.who).Str("xid", id).Int("runner", int64(w))
	if until > 0 {
		h.out.Int("try_until_ns", until)
	}
	h.out.End()
}
func (h *instance) CancelAttempt(id string, attempt int) {
	h.out.Open("abort_attempt", h.who).Str("xid", id).Int("trial", int64(attempt)).End()
}
func (h *instance) Reject(id string, wait int64) {
	h.out.Open("shed", h.who).Str("xid", id).Int("wait_ns", wait).End()
}
func (h *instance) Fail(id string) { h.out.Open("lose", h.who).Str("xid", id).End() }
func (h *instance) OrderLoad(w balancer.WorkerID, f balancer.FuncID, n int) {
	h.out.Open("keep_loaded", h.who).Fn(uint64(f)).Int("how_many", int64(n)).Int("runner", int64(w)).End()
}
func (h *instance) OrderUnload(w balancer.WorkerID, f balancer.FuncID) {
	h.out.Open("unmount", h.who).Fn(uint64(f)).Int("runner", int64(w)).End()
}
func (h *instance) HealthCheck(w balancer.WorkerID) {
	h.out.Open("probe", h.who).Int("runner", int64(w)).End()
}
func (h *instance) SendPeerMessage(to int, data string) {
	h.out.Open("write_peer", h.who)
	if to < 0 {
		h.out.Str("peer", "*")
	} else {
		h.out.Int("peer", int64(to))
	}
	h.out.Str("data", data).End()
}

// CountTowardLoadQuota has nothing to do: the simulator counts for itself.
func (h *instance) CountTowardLoadQuota(int64) {}

func (h *instance) SetTimer(delay, ref int64) {
	h.out.Open("sleep", h.who).Int("offset_ns", delay).Int("ref", ref).End()
}
func (h *instance) SubscribeEndpoints() {
	h.out.Open("tail", h.who)
	h.out.Buf = append(h.out.Buf, `,"enable":true`...)
	h.out.End()
}
func (h *instance) Log(text string) { h.out.Open("emit", h.who).Str("text", text).End() }

var results = map[string]balancer.Result{"delivered": balancer.OK, "app_error": balancer.Error, "shed": balancer.QueueFull,
	"expired": balancer.Timeout, "dial_failed": balancer.ConnectFailed, "dropped": balancer.Reset,
	"revoked": balancer.Cancelled, "unused": balancer.NotSent, "empty": balancer.NotLoaded}

// result reads an outcome's name; one not known here proves nothing, like an error.
func result(s string) balancer.Result {
	if r, ok := results[s]; ok {
		return r
	}
	return balancer.Error
}

func serve(in io.Reader, out io.Writer) error {
	rd := bufio.NewReaderSize(in, 1<<20)
	var reply wire.Writer
	all := map[string]*instance{}
	lists := map[int][]balancer.Endpoint{}
	now, line := int64(0), 0
	find := func(who string) (*instance, error) {
		if h := all[who]; h != nil {
			return h, nil
		}
		return nil, fmt.Errorf("line %d: field who: unknown instance %q", line, who)
	}
	for {
		text, err := rd.ReadBytes('\n')
		if err == io.EOF && len(text) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		line++
		blank := true
		for _, c := range text {
			blank = blank && (c == ' ' || c == '\n' || c == '\r' || c == '\t')
		}
		if blank {
			continue
		}
		ev, err := wire.Decode(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		var h *instance
		switch e := ev.(type) {
		case *wire.Clock:
			if e.Now == nil {
				return fmt.Errorf("line %d: clock: field sim_time_ns is missing", line)
			}
			now = *e.Now
		case *wire.OverToYou:
			reply.Yield()
			if _, err := out.Write(reply.Buf); err != nil {
				return err
			}
			reply.Buf = reply.Buf[:0]
		case *wire.DefineList:
			es := make([]balancer.Endpoint, 0, len(e.Entries))
			for i, x := range e.Entries {
				if x.Runner == nil {
					return fmt.Errorf("line %d: define_list: entries[%d]: field runner is missing", line, i)
				}
				st := balancer.Removed
				switch x.Readiness {
				case "on":
					st = balancer.Active
				case "fading":
					st = balancer.Draining
				}
				es = append(es, balancer.Endpoint{Worker: balancer.WorkerID(*x.Runner), Zone: x.Hall, Kind: x.HW,
					Cell: x.Block, State: st, Weight: x.Nominal, Start: x.UpSince})
			}
			lists[e.Bank] = es
		case *wire.Boot:
			s, err := wire.ReadSetup(e.Setup)
			if err != nil {
				return fmt.Errorf("line %d: boot: field setup: %w", line, err)
			}
			h = &instance{who: e.Who, out: &reply}
			if h.d, err = balancer.New(now, s.Decide(), e.Seed, h); err != nil {
				return fmt.Errorf("line %d: boot: field setup: %w", line, err)
			}
			all[e.Who] = h
		case *wire.Killed:
			delete(all, e.Who)
		case *wire.Sync:
			if h, err = find(e.Who); err != nil {
				return err
			}
			kinds := map[string]balancer.EndpointUpdateKind{"delta": balancer.EndpointsDelta, "full": balancer.EndpointsSnapshot,
				"cached": balancer.EndpointsCached, "failed": balancer.EndpointsUnavailable}
			k, known := kinds[e.Kind]
			if !known {
				return fmt.Errorf("line %d: sync: field kind: unknown %q", line, e.Kind)
			}
			es, ok := lists[e.Bank]
			if !ok && k != balancer.EndpointsUnavailable {
				return fmt.Errorf("line %d: sync: field bank: unknown list %d", line, e.Bank)
			}
			if k == balancer.EndpointsUnavailable {
				es = nil
			}
			h.d.UpdateEndpoints(now, k, es)
		case *wire.Demand:
			if h, err = find(e.Who); err != nil {
				return err
			}
			f, err := strconv.ParseUint(e.Fn, 16, 64)
			if err != nil && e.Fn != "" {
				return fmt.Errorf("line %d: demand: field target_fn: %q is not a function id", line, e.Fn)
			}
			h.d.HandleRequest(now, balancer.Request{ID: e.ID, Class: e.Kind, Tenant: e.Group, Func: balancer.FuncID(f),
				Deadline: e.ValidUntil, MemoryMB: e.MemoryMB, Concurrency: int(e.Lanes),
				LoadTime: int64(e.LoadMS * 1e6), Retry: e.Repeat})
		case *wire.Bell:
			if h, err = find(e.Who); err != nil {
				return err
			}
			h.d.HandleTimer(now, e.Ref)
		case *wire.FirstByte:
			if h, err = find(e.Who); err != nil {
				return err
			}
			h.d.HandleFirstByte(now, e.ID, e.Trial)
		case *wire.AttemptEnd:
			if h, err = find(e.Who); err != nil {
				return err
			}
			o := balancer.AttemptResult{ID: e.ID, Attempt: e.Trial, Worker: balancer.WorkerID(e.Runner), RTT: e.RTT,
				Finished: e.Finished, Report: e.Load, Result: result(e.How), ConcurrentRequests: e.Info >> 3,
				Warmth: balancer.Warmth(e.Info & 7)}
			h.d.HandleAttemptResult(now, o)
		case *wire.Pong:
			if h, err = find(e.Who); err != nil {
				return err
			}
			h.d.HandleHealthCheck(now, balancer.WorkerID(e.Runner), result(e.How), e.RTT, e.Load)
		case *wire.NoteFrom:
			if h, err = find(e.Who); err != nil {
				return err
			}
			h.d.HandlePeerMessage(now, e.Sender, e.Data)
		case *wire.Warmed:
			if h, err = find(e.Who); err != nil {
				return err
			}
			f, err := strconv.ParseUint(e.Fn, 16, 64)
			if err != nil {
				return fmt.Errorf("line %d: warmed: field target_fn: %q is not a function id", line, e.Fn)
			}
			h.d.HandleLoadResult(now, balancer.WorkerID(e.Runner), balancer.FuncID(f), e.HowMany, result(e.How))
		case *wire.Vanished:
			if h, err = find(e.Who); err != nil {
				return err
			}
			h.d.HandleClientGone(now, e.ID)
		}
	}
}
