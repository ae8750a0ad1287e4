package lab

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// real runs real processes: one second without calls, then the warm-up and the span.
func (c *calibration) real(
	ctx context.Context, net *LoopbackRange, dir string, group int, fleet fleetShape, seed uint64,
) (*costs, error) {
	figures := hollowFigures(c.size(fleet))
	rig, err := NewRig(net, dir, RigConfig{
		Dispatchers: fleet.dispatchers, Workers: fleet.executors, Figures: figures, Program: c.program,
		AddrGroup: group, Zones: calibrateZones, Seed: seed, Load: Load{Rate: c.calls, Models: c.functions, Retries: 2},
		Settings: func(_ int, s map[string]any) { s["prices"].(map[string]any)["peer"] = peerPrice },
	})
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	ready, done := context.WithTimeout(ctx, calibrateReady)
	defer done()
	if err := rig.Start(ready, nil); err != nil {
		return nil, err
	}
	samples, err := c.play(ctx, rig)
	if err != nil {
		return nil, err
	}
	rig.StopClients()
	x, err := processCosts(rig, samples)
	if err != nil {
		return nil, err
	}
	b := rig.Check(nil)
	if x.breaches = b.Sum(); x.breaches > 0 {
		c.log("calibration: %d dispatchers, %d executors, clients up to %.1f s behind: %+v",
			fleet.dispatchers, fleet.executors, x.lag, b)
	}
	if err := rig.Stop(); err != nil {
		return nil, fmt.Errorf("a dispatcher exited with an error: %w", err)
	}
	return x, nil
}

// play lets the rig idle, warm up and serve the span. It returns the resource usage of the
// processes once they are ready, before the clients start, and at the start and the end of the
// span.
func (c *calibration) play(ctx context.Context, rig *Rig) (samples [4]processUsage, err error) {
	at := time.Now()
	for i, wait := range []time.Duration{0, calibrateIdle, c.warm, c.span} {
		at = at.Add(wait)
		if err := sleepUntil(ctx, at); err != nil {
			return samples, err
		}
		if samples[i], err = rig.processUsage(); err != nil {
			return samples, err
		}
		if i == 1 {
			rig.StartClients(ctx, nil)
		}
	}
	return samples, nil
}

// processCosts returns the costs of a rig's processes from the four samples of play.
func processCosts(rig *Rig, samples [4]processUsage) (*costs, error) {
	ready, idle, begin, end := samples[0], samples[1], samples[2], samples[3]
	n := float64(rig.Dispatchers)
	x := &costs{
		heap: math.NaN(), resident: float64(end.resident) / n,
		idle:   (idle.cpu - ready.cpu).Seconds() / n / idle.at.Sub(ready.at).Seconds(),
		system: float64(end.system-begin.system) / math.Max(1, float64(end.ticks-begin.ticks)),
	}
	asked, earned, unserved := 0.0, 0.0, 0
	for _, call := range rig.Calls(nil) {
		if call.Intended.Before(begin.at) || !call.Intended.Before(end.at) {
			continue
		}
		x.calls++
		asked += rig.Figures.Classes[call.Class].PriorityWeight
		earned += call.WeightedValue(rig.Figures)
		if !call.Served {
			unserved++
		}
	}
	for _, k := range rig.Clients {
		x.lag = max(x.lag, k.MaxLag().Seconds())
	}
	if x.calls == 0 {
		return nil, fmt.Errorf("no call was intended in the span; clients were up to %.1f s behind their schedule",
			x.lag)
	}
	x.cpu = (end.cpu - begin.cpu).Seconds() / float64(x.calls)
	x.value, x.unserved = earned/asked, float64(unserved)/float64(x.calls)
	x.countMessages(rig.PeerNetwork.Datagrams(), n, begin.at, end.at)
	return x, nil
}

// countMessages adds the messages that n dispatchers sent between from and until.
func (c *costs) countMessages(datagrams []Datagram, n float64, from, until time.Time) {
	span := until.Sub(from).Seconds()
	seconds := map[[2]int]int{} // bytes per dispatcher and second
	for _, datagram := range datagrams {
		if !datagram.At.Before(from) && datagram.At.Before(until) {
			c.bytes += float64(datagram.Bytes) / n / span
			c.messages += 1 / n / span
			seconds[[2]int{datagram.From, int(datagram.At.Sub(from) / time.Second)}] += datagram.Bytes
		}
	}
	for _, b := range seconds {
		c.busiest = max(c.busiest, float64(b))
	}
}

// processUsage is the resource usage of processes since their start.
type processUsage struct {
	at            time.Time
	cpu           time.Duration
	system, ticks int64 // CPU time in clock ticks, coarser than cpu: in the kernel, and in total
	resident      int64 // bytes
}

// processUsage returns the summed resource usage of the rig's dispatchers.
func (r *Rig) processUsage() (sum processUsage, err error) {
	sum.at = time.Now()
	for _, dispatcher := range r.Nodes {
		if !dispatcher.Running() {
			return sum, fmt.Errorf("dispatcher %d is not running", dispatcher.N)
		}
		t, err := usageOf(dispatcher.cmd.Process.Pid)
		if err != nil {
			return sum, fmt.Errorf("dispatcher %d: %w", dispatcher.N, err)
		}
		sum.cpu, sum.system, sum.ticks, sum.resident = sum.cpu+t.cpu, sum.system+t.system, sum.ticks+t.ticks,
			sum.resident+t.resident
	}
	return sum, nil
}

// usageOf returns the resource usage of a process: its CPU time by its CPU clock, whose id is
// derived from the process id (clock_getcpuclockid(3)), and the user and kernel ticks and the
// resident memory from /proc (proc_pid_stat(5), proc_pid_statm(5)).
func usageOf(pid int) (t processUsage, err error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(^int32(pid)<<3|2, &ts); err != nil {
		return t, fmt.Errorf("CPU clock of process %d: %w", pid, err)
	}
	t.cpu = time.Duration(ts.Nano())
	fields := func(file string) ([]int64, error) {
		raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
		if err != nil {
			return nil, err
		}
		if i := bytes.LastIndexByte(raw, ')'); i >= 0 {
			raw = raw[i+1:] // the command name may contain spaces and parentheses
		}
		var out []int64
		for _, x := range bytes.Fields(raw) {
			n, _ := strconv.ParseInt(string(x), 10, 64)
			out = append(out, n)
		}
		return out, nil
	}
	stat, err := fields("stat")
	if err != nil {
		return t, err
	}
	statm, err := fields("statm")
	if err != nil {
		return t, err
	}
	const user, system, pages = 11, 12, 1 // indexes into stat after the command name, and into statm
	if len(stat) <= system || len(statm) <= pages {
		return t, fmt.Errorf("/proc/%d: too few fields in stat or statm", pid)
	}
	t.system, t.ticks, t.resident = stat[system], stat[user]+stat[system], statm[pages]*int64(os.Getpagesize())
	return t, nil
}
