package soak

// Injection and removal of each kind of fault.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"

	"oakthread/internal/lab"
)

// inject injects a fault at its time, and removes it when its duration is over.
func (w *world) inject(ctx context.Context, fault Fault) {
	if !sleep(ctx, time.Until(w.begin.Add(fault.At))) {
		return
	}
	faultCtx, cancel := context.WithTimeout(ctx, fault.For)
	defer cancel()
	var err error
	switch fault.Kind {
	case Terminate, Crash, Signals, Pause, Reload, ReloadInvalid, DiskFails:
		err = w.disturbProcesses(faultCtx, ctx, fault)
	case ExecutorHang, ExecutorVanish, ExecutorReset, ExecutorSlow:
		err = w.disturbLinks(faultCtx, fault)
	case ExecutorDrain, ExecutorRenew:
		err = w.replaceExecutors(faultCtx, fault)
	case IdleClosed, AnswerDuplicate, AnswerFragmented, AnswerTruncated, ExecutorErrors:
		w.corruptAnswers(faultCtx, fault)
	case DiscoverySilent, DiscoveryReset, DiscoverySlow, DiscoveryResync, DiscoveryCutOff:
		err = w.disturbDiscovery(faultCtx, fault)
	case ClientsLeave, ClientsSlowSend, ClientsFlood, ClientsRetry, ClientsShortTimeout, ClientsBurst, ClientsCrowd:
		w.changeClients(faultCtx, fault)
	case PeersLost, PeersDuplicate:
		w.disturbPeers(faultCtx, fault)
	case ClockStep, AcceptFails, ConnectFails, ConnectLate, TransferFails: // injected by the processes themselves
		<-faultCtx.Done()
	}
	if err != nil {
		w.mu.Lock()
		w.errs = append(w.errs, fmt.Errorf("%s: %w", fault, err))
		w.mu.Unlock()
	}
}

// sleep waits for d and reports true, or false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// disturbProcesses restarts, stops or reloads processes, or makes their file writes fail.
func (w *world) disturbProcesses(faultCtx, ctx context.Context, fault Fault) error {
	return runParallel(len(fault.Targets), func(i int) error {
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
			startCtx, cancel := context.WithTimeout(ctx, readyTime)
			defer cancel()
			known := func() map[string]any { return w.rig.Discovery.Snapshot(node.N) }
			return node.restart(startCtx, signals, w.earliestKill(), known)
		case Pause:
			node.pause(faultCtx, fault.For)
		case DiskFails:
			return w.failDisk(faultCtx, node, fault)
		default:
			return w.reloadRepeatedly(faultCtx, node, fault)
		}
		return nil
	})
}

// signalSeries holds the signals of the fault Signals: repeated reloads and repeated SIGTERM.
var signalSeries = []syscall.Signal{
	syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM,
}

// earliestKill returns the time after SIGTERM from which the platform may send SIGKILL.
func (w *world) earliestKill() time.Duration {
	var longest time.Duration
	for _, class := range w.figures.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return min(longest, maxKillDeadline) + drainLinger
}

// failDisk makes file writes fail beyond a file size, so that a write may end in the middle.
func (w *world) failDisk(faultCtx context.Context, n *node, fault Fault) error {
	n.actionMu.Lock()
	defer n.actionMu.Unlock()
	if err := n.limitFileSize(int64(fault.Amount * maxFileBytes)); err != nil {
		return err
	}
	<-faultCtx.Done()
	return n.limitFileSize(-1)
}

// reloadRepeatedly makes a node reload a changed configuration again and again until faultCtx ends.
func (w *world) reloadRepeatedly(faultCtx context.Context, n *node, fault Fault) error {
	for i := 0; faultCtx.Err() == nil; i++ {
		raw, err := w.reloadConfig(n, fault, i)
		if err != nil {
			return err
		}
		n.actionMu.Lock()
		err = n.reload(raw)
		if err == nil {
			sleep(faultCtx, reloadHold)
			err = os.WriteFile(n.Config, n.validConfig, 0o600)
		}
		n.actionMu.Unlock()
		if err != nil {
			return err
		}
		sleep(faultCtx, reloadInterval)
	}
	return nil
}

// reloadConfig returns the configuration of the i-th reload: a valid one with another send_cap, or
// for ReloadInvalid one that is truncated or lacks its settings.
func (w *world) reloadConfig(n *node, fault Fault, i int) ([]byte, error) {
	if fault.Kind == ReloadInvalid && i%2 == 0 {
		return n.validConfig[:int(fault.Amount*float64(len(n.validConfig)))], nil
	}
	var config map[string]any
	if err := json.Unmarshal(n.validConfig, &config); err != nil {
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
func (w *world) disturbLinks(faultCtx context.Context, fault Fault) error {
	linkFault, delay := map[Kind]lab.Fault{
		ExecutorHang: lab.Freeze, ExecutorVanish: lab.Cut, ExecutorReset: lab.Reset,
		ExecutorSlow: lab.Open,
	}[fault.Kind], time.Duration(0)
	if fault.Kind == ExecutorSlow {
		delay = time.Duration(fault.Amount * float64(150*time.Millisecond))
	}
	if fault.Kind == ExecutorReset { // briefly, so that open connections are reset and new ones can be opened
		var cancel context.CancelFunc
		faultCtx, cancel = context.WithTimeout(faultCtx, 30*time.Millisecond)
		defer cancel()
	}
	selected := func(_, executor int) bool { return contains(fault.Targets, executor) }
	marks := make([]int, len(fault.Targets))
	for i, e := range fault.Targets {
		marks[i] = w.beginSpan(&w.disturbed[e])
	}
	if err := w.rig.Links.SetWorkerLinks(linkFault, delay, selected); err != nil {
		return err
	}
	<-faultCtx.Done()
	err := w.rig.Links.SetWorkerLinks(lab.Open, 0, selected)
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

// beginSpan records the start of a disturbance and returns its index; endSpan records its end.
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

// linkTail extends a disturbance, for data in transit when the link was opened again.
const linkTail = 100 * time.Millisecond

// replaceExecutors replaces executors by cold ones, for ExecutorDrain after draining them.
func (w *world) replaceExecutors(faultCtx context.Context, fault Fault) error {
	var replaced []int
	w.mu.Lock()
	for _, e := range fault.Targets {
		if !w.replacing[e] {
			w.replacing[e] = true
			replaced = append(replaced, e)
		}
	}
	selected := func(worker int) bool { return contains(replaced, worker) }
	if fault.Kind == ExecutorDrain {
		w.rig.Drain(selected)
		for _, e := range replaced {
			w.drains = append(w.drains, Drain{e, span{from: time.Now()}})
		}
	}
	w.mu.Unlock()
	if fault.Kind == ExecutorDrain {
		<-faultCtx.Done()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.drains {
		if selected(w.drains[i].Executor) && w.drains[i].until.IsZero() {
			w.drains[i].until = time.Now()
		}
	}
	for _, e := range replaced {
		delete(w.replacing, e)
		if err := w.rig.Replace(e); err != nil {
			return err
		}
		w.rig.Listed[e].Phase = lab.Ready
		w.rig.Workers[e].Wrap(w.executors[e].wrap)
	}
	w.rig.Announce(selected)
	return nil
}

// corruptAnswers makes executors corrupt or fail a share of their answers.
func (w *world) corruptAnswers(faultCtx context.Context, fault Fault) {
	set := func(share float64) {
		for _, e := range fault.Targets {
			if fault.Kind != ExecutorErrors {
				w.executors[e].setFaultRate(fault.Kind, share)
				continue
			}
			w.mu.Lock()
			w.rig.Workers[e].SetFailureRate(share)
			w.mu.Unlock()
		}
	}
	set(0.1 + 0.5*fault.Amount)
	<-faultCtx.Done()
	set(0)
}

// disturbDiscovery disturbs command channels, withholds events or publishes the full list again.
func (w *world) disturbDiscovery(faultCtx context.Context, fault Fault) error {
	if fault.Kind == DiscoveryCutOff {
		return w.cutOffDiscovery(faultCtx)
	}
	if fault.Kind == DiscoveryResync {
		w.mu.Lock()
		w.rig.Announce(func(int) bool { return true })
		w.mu.Unlock()
		return nil
	}
	linkFault, delay := map[Kind]lab.Fault{
		DiscoverySilent: lab.Freeze, DiscoveryReset: lab.Reset,
		DiscoverySlow: lab.Open,
	}[fault.Kind], time.Duration(0)
	if fault.Kind == DiscoverySlow {
		delay = time.Duration(fault.Amount * float64(time.Second))
	}
	marks := make([]int, len(fault.Targets))
	for i, n := range fault.Targets {
		marks[i] = w.beginSpan(&w.uninformed[n])
		if err := w.rig.Links.Channels[n].Set(linkFault, delay); err != nil {
			return err
		}
	}
	<-faultCtx.Done()
	for i, n := range fault.Targets {
		if err := w.rig.Links.Channels[n].Set(lab.Open, 0); err != nil {
			return err
		}
		w.endSpan(&w.uninformed[n], marks[i])
	}
	return nil
}

// cutOffDiscovery makes discovery withhold all events, while its heartbeats go on.
func (w *world) cutOffDiscovery(faultCtx context.Context) error {
	marks := make([]int, len(w.uninformed))
	for n := range marks {
		marks[n] = w.beginSpan(&w.uninformed[n])
	}
	w.rig.Discovery.Hold(true)
	<-faultCtx.Done()
	w.rig.Discovery.Hold(false)
	for n, mark := range marks {
		w.endSpan(&w.uninformed[n], mark)
	}
	return nil
}

// changeClients changes the behaviour of clients, or adds clients or connections.
func (w *world) changeClients(faultCtx context.Context, fault Fault) {
	share := 0.2 + 0.6*fault.Amount
	set := func(x float64) {
		for _, n := range fault.Targets {
			w.clients[n].changeBehaviour(func(b *behaviour) {
				switch fault.Kind {
				case ClientsLeave:
					b.Leave = x
				case ClientsSlowSend:
					b.SlowSend = x
				case ClientsRetry:
					b.Retry = x
				case ClientsShortTimeout:
					b.ShortTimeout = x
				}
			})
		}
	}
	if fault.Kind == ClientsFlood {
		_ = runParallel(len(fault.Targets),
			func(i int) error { w.clients[fault.Targets[i]].flood(faultCtx, floodConns); return nil })
		return
	}
	if fault.Kind == ClientsCrowd {
		_ = runParallel(len(fault.Targets),
			func(i int) error { w.clients[fault.Targets[i]].crowd(faultCtx, crowdClients); return nil })
		return
	}
	if fault.Kind == ClientsBurst {
		_ = runParallel(min(len(fault.Targets), 2),
			func(i int) error { w.clients[fault.Targets[i]].burst(faultCtx, burstClients); return nil })
		return
	}
	set(share)
	<-faultCtx.Done()
	set(0)
}

// disturbPeers drops the datagrams to some dispatchers, or duplicates and delays them.
func (w *world) disturbPeers(faultCtx context.Context, fault Fault) {
	link := lab.DropAll
	if fault.Kind == PeersDuplicate {
		link = lab.PeerLink{
			Twice: 0.5, Delay: time.Duration(fault.Amount * float64(400*time.Millisecond)),
			Jitter: 200 * time.Millisecond,
		}
	}
	selected := func(_, to int) bool { return contains(fault.Targets, to) }
	w.rig.PeerNetwork.Set(link, selected)
	<-faultCtx.Done()
	w.rig.PeerNetwork.Set(lab.PeerLink{}, selected)
}
