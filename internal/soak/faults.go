package soak

// How each fault is injected and ended.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"

	"oakthread/internal/lab"
)

// inject injects a fault for its time.
func (w *world) inject(ctx context.Context, fault Fault) {
	if !wait(ctx, time.Until(w.begin.Add(fault.At))) {
		return
	}
	lasts, cancel := context.WithTimeout(ctx, fault.For)
	defer cancel()
	var err error
	switch fault.Kind {
	case Terminate, Crash, Signals, Pause, Reload, ReloadInvalid, DiskFails:
		err = w.disturbProcesses(lasts, ctx, fault)
	case ExecutorHang, ExecutorVanish, ExecutorReset, ExecutorSlow:
		err = w.disturbLinks(lasts, fault)
	case ExecutorDrain, ExecutorRenew:
		err = w.replaceExecutors(lasts, fault)
	case IdleClosed, AnswerTwice, AnswerPieces, AnswerCut, ExecutorErrors:
		w.corruptAnswers(lasts, fault)
	case DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryOver, DiscoveryCutOff:
		err = w.disturbDiscovery(lasts, fault)
	case ClientsLeave, ClientsDawdle, ClientsFlood, ClientsRetry, ClientsBrief, ClientsBurst, ClientsCrowd:
		w.changeClients(lasts, fault)
	case PeersDeaf, PeersTwice:
		w.disturbPeers(lasts, fault)
	case ClockStep, AcceptFails, ConnectFails, ConnectLate, TransferFails: // the processes do it to themselves
		<-lasts.Done()
	}
	if err != nil {
		w.mu.Lock()
		w.failed = append(w.failed, fmt.Errorf("%s: %w", fault, err))
		w.mu.Unlock()
	}
}

// wait waits; false: ctx has ended before.
func wait(ctx context.Context, long time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(long):
		return true
	}
}

// disturbProcesses ends, stops or reloads processes, or makes their file writes fail.
func (w *world) disturbProcesses(lasts, ctx context.Context, fault Fault) error {
	return each(len(fault.Targets), func(i int) error {
		node := w.nodes[fault.Targets[i]]
		switch fault.Kind {
		case Terminate, Crash, Signals:
			signals := []syscall.Signal{syscall.SIGTERM}
			switch fault.Kind {
			case Crash:
				signals = []syscall.Signal{syscall.SIGKILL}
			case Signals:
				signals = signalSeries
			default:
			}
			soon, cancel := context.WithTimeout(ctx, readyTime)
			defer cancel()
			known := func() map[string]any { return w.rig.Disc.Known(node.N) }
			return node.restart(soon, signals, w.earliestKill(), known)
		case Pause:
			node.pause(lasts, fault.For)
		case DiskFails:
			return w.failDisk(lasts, node, fault)
		default:
			return w.reloads(lasts, node, fault)
		}
		return nil
	})
}

// signalSeries is what a node gets at a hurried end: configurations in a row, and SIGTERM more than once.
var signalSeries = []syscall.Signal{
	syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM,
}

// earliestKill returns how soon after SIGTERM the platform may send SIGKILL.
func (w *world) earliestKill() time.Duration {
	var longest time.Duration
	for _, class := range w.figures.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return min(longest, maxKillDeadline) + takenAtEnd
}

// failDisk has writes of the process fail beyond a place in the file, so that one may end in the middle.
func (w *world) failDisk(lasts context.Context, n *node, fault Fault) error {
	n.action.Lock()
	defer n.action.Unlock()
	if err := n.limitFiles(int64(fault.Amount * diskRoom)); err != nil {
		return err
	}
	<-lasts.Done()
	return n.limitFiles(-1)
}

// reloads has a node read one file after another.
func (w *world) reloads(lasts context.Context, n *node, fault Fault) error {
	for i := 0; lasts.Err() == nil; i++ {
		raw, err := w.file(n, fault, i)
		if err != nil {
			return err
		}
		n.action.Lock()
		err = n.reload(raw)
		if err == nil {
			wait(lasts, reloadStands)
			err = os.WriteFile(n.Config, n.good, 0o600)
		}
		n.action.Unlock()
		if err != nil {
			return err
		}
		wait(lasts, reloadEvery)
	}
	return nil
}

// file is a configuration for a reload: good, without its settings, or cut off.
func (w *world) file(n *node, fault Fault, i int) ([]byte, error) {
	if fault.Kind == ReloadInvalid && i%2 == 0 {
		return n.good[:int(fault.Amount*float64(len(n.good)))], nil
	}
	var config map[string]any
	if err := json.Unmarshal(n.good, &config); err != nil {
		return nil, err
	}
	if fault.Kind == ReloadInvalid {
		delete(config, "settings")
	} else {
		config["settings"].(map[string]any)["permissions"].(map[string]any)["send_cap"] = 3 + i%3
	}
	return json.Marshal(config)
}

// disturbLinks changes the links between all dispatchers and some executors.
func (w *world) disturbLinks(lasts context.Context, fault Fault) error {
	what, delay := map[Kind]lab.Fault{
		ExecutorHang: lab.Freeze, ExecutorVanish: lab.Cut, ExecutorReset: lab.Reset,
		ExecutorSlow: lab.Open,
	}[fault.Kind], time.Duration(0)
	if fault.Kind == ExecutorSlow {
		delay = time.Duration(fault.Amount * float64(150*time.Millisecond))
	}
	if fault.Kind == ExecutorReset { // for a moment, so that open connections are reset and new ones come up
		var cancel context.CancelFunc
		lasts, cancel = context.WithTimeout(lasts, 30*time.Millisecond)
		defer cancel()
	}
	pick := func(_, executor int) bool { return contains(fault.Targets, executor) }
	marks := make([]int, len(fault.Targets))
	for i, e := range fault.Targets {
		marks[i] = w.beginSpan(&w.disturbed[e])
	}
	if err := w.rig.Links.Between(what, delay, pick); err != nil {
		return err
	}
	<-lasts.Done()
	err := w.rig.Links.Between(lab.Open, 0, pick)
	for i, e := range fault.Targets {
		w.endSpan(&w.disturbed[e], marks[i])
	}
	return err
}

func contains(targets []int, n int) bool {
	for _, t := range targets {
		if t == n {
			return true
		}
	}
	return false
}

// beginSpan notes that something begins to be not as it should; calm ends it.
func (w *world) beginSpan(list *[]span) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, span{from: time.Now()})
	return len(*list) - 1
}

func (w *world) endSpan(list *[]span, at int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	(*list)[at].until = time.Now().Add(linkTail)
}

// linkTail allows for what was in transit when a link was opened again.
const linkTail = 100 * time.Millisecond

// replaceExecutors drains executors and starts others, not warmed up, in their place.
func (w *world) replaceExecutors(lasts context.Context, fault Fault) error {
	var mine []int
	w.mu.Lock()
	for _, e := range fault.Targets {
		if !w.busy[e] {
			w.busy[e] = true
			mine = append(mine, e)
		}
	}
	pick := func(worker int) bool { return contains(mine, worker) }
	if fault.Kind == ExecutorDrain {
		w.rig.Drain(pick)
		for _, e := range mine {
			w.drains = append(w.drains, Drain{e, span{from: time.Now()}})
		}
	}
	w.mu.Unlock()
	if fault.Kind == ExecutorDrain {
		<-lasts.Done()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.drains {
		if pick(w.drains[i].Executor) && w.drains[i].until.IsZero() {
			w.drains[i].until = time.Now()
		}
	}
	for _, e := range mine {
		delete(w.busy, e)
		if err := w.rig.Replace(e); err != nil {
			return err
		}
		w.rig.Listed[e].Phase = lab.Ready
		w.rig.Workers[e].Wrap(w.executors[e].wrap)
	}
	w.rig.Announce(pick)
	return nil
}

// corruptAnswers has executors spoil a share of their answers.
func (w *world) corruptAnswers(lasts context.Context, fault Fault) {
	set := func(share float64) {
		for _, e := range fault.Targets {
			if fault.Kind != ExecutorErrors {
				w.executors[e].set(fault.Kind, share)
				continue
			}
			w.mu.Lock()
			w.rig.Workers[e].Fail(share)
			w.mu.Unlock()
		}
	}
	set(0.1 + 0.5*fault.Amount)
	<-lasts.Done()
	set(0)
}

// disturbDiscovery changes the links of command channels, or publishes the full list again.
func (w *world) disturbDiscovery(lasts context.Context, fault Fault) error {
	if fault.Kind == DiscoveryCutOff {
		return w.cutOffDiscovery(lasts)
	}
	if fault.Kind == DiscoveryOver {
		w.mu.Lock()
		w.rig.Announce(func(int) bool { return true })
		w.mu.Unlock()
		return nil
	}
	what, delay := map[Kind]lab.Fault{
		DiscoverySilent: lab.Freeze, DiscoveryReset: lab.Reset,
		DiscoverySlow: lab.Open,
	}[fault.Kind], time.Duration(0)
	if fault.Kind == DiscoverySlow {
		delay = time.Duration(fault.Amount * float64(time.Second))
	}
	marks := make([]int, len(fault.Targets))
	for i, n := range fault.Targets {
		marks[i] = w.beginSpan(&w.uninformed[n])
		if err := w.rig.Links.Channels[n].Set(what, delay); err != nil {
			return err
		}
	}
	<-lasts.Done()
	for i, n := range fault.Targets {
		if err := w.rig.Links.Channels[n].Set(lab.Open, 0); err != nil {
			return err
		}
		w.endSpan(&w.uninformed[n], marks[i])
	}
	return nil
}

// cutOffDiscovery has discovery tell nobody anything new, while its heartbeats go on.
func (w *world) cutOffDiscovery(lasts context.Context) error {
	marks := make([]int, len(w.uninformed))
	for n := range marks {
		marks[n] = w.beginSpan(&w.uninformed[n])
	}
	w.rig.Disc.Hold(true)
	<-lasts.Done()
	w.rig.Disc.Hold(false)
	for n, mark := range marks {
		w.endSpan(&w.uninformed[n], mark)
	}
	return nil
}

// changeClients changes what the clients do, or adds connections to theirs.
func (w *world) changeClients(lasts context.Context, fault Fault) {
	share := 0.2 + 0.6*fault.Amount
	set := func(x float64) {
		for _, n := range fault.Targets {
			w.clients[n].behave(func(b *behaviour) {
				switch fault.Kind {
				case ClientsLeave:
					b.Leave = x
				case ClientsDawdle:
					b.Dawdle = x
				case ClientsRetry:
					b.Retry = x
				case ClientsBrief:
					b.Brief = x
				}
			})
		}
	}
	if fault.Kind == ClientsFlood {
		_ = each(len(fault.Targets),
			func(i int) error { w.clients[fault.Targets[i]].flood(lasts, floodConns); return nil })
		return
	}
	if fault.Kind == ClientsCrowd {
		_ = each(len(fault.Targets),
			func(i int) error { w.clients[fault.Targets[i]].crowd(lasts, crowdClients); return nil })
		return
	}
	if fault.Kind == ClientsBurst {
		_ = each(min(len(fault.Targets), 2),
			func(i int) error { w.clients[fault.Targets[i]].burst(lasts, burstClients); return nil })
		return
	}
	set(share)
	<-lasts.Done()
	set(0)
}

// disturbPeers loses, duplicates or delays the datagrams to some dispatchers.
func (w *world) disturbPeers(lasts context.Context, fault Fault) {
	wire := lab.Lost
	if fault.Kind == PeersTwice {
		wire = lab.PeerLink{
			Twice: 0.5, Delay: time.Duration(fault.Amount * float64(400*time.Millisecond)),
			Jitter: 200 * time.Millisecond,
		}
	}
	pick := func(_, to int) bool { return contains(fault.Targets, to) }
	w.rig.PeerNetwork.Set(wire, pick)
	<-lasts.Done()
	w.rig.PeerNetwork.Set(lab.PeerLink{}, pick)
}
