// Package soak runs real dispatcher processes on loopback under overlapping random faults, drawn
// from a seed, and checks the records of clients and executors against the platform's rules. It
// uses nothing that a dispatcher reports about itself.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of fault.
const (
	Terminate     Kind = "terminate" // SIGTERM, then a restart on the same address
	Crash         Kind = "crash"     // SIGKILL, then a restart on the same address
	Signals       Kind = "signals"   // a series of SIGHUP and SIGTERM, then a restart on the same address
	Pause         Kind = "pause"     // SIGSTOP and SIGCONT
	Reload        Kind = "reload"    // SIGHUP with a valid file
	ReloadInvalid Kind = "reloadbad" // SIGHUP with a file that lacks its settings or is truncated

	ExecutorHang     Kind = "hang"      // connections are accepted, but transfer no data
	ExecutorVanish   Kind = "vanish"    // connections stay open without data, and new ones cannot be opened
	ExecutorReset    Kind = "reset"     // connections are reset
	ExecutorSlow     Kind = "slow"      // all data is delayed
	ExecutorDrain    Kind = "drain"     // it drains and is listed as draining; then a cold one replaces it
	ExecutorRenew    Kind = "renew"     // a cold one takes its address
	IdleClosed       Kind = "idleclose" // connections are closed after an answer
	AnswerDuplicate  Kind = "twice"     // an answer is sent twice, at once or some milliseconds later
	AnswerFragmented Kind = "pieces"    // an answer is sent in pieces
	AnswerTruncated  Kind = "cut"       // an answer is cut off in the middle
	ExecutorErrors   Kind = "errors"    // calls run and fail at once

	DiscoverySilent Kind = "disco-silent" // its connections stay open, but transfer no data
	DiscoveryReset  Kind = "disco-reset"  // its connections are reset, possibly within a line
	DiscoverySlow   Kind = "disco-slow"   // all its data is delayed
	DiscoveryCutOff Kind = "disco-cut"    // its heartbeats go on, but no dispatcher receives events
	DiscoveryResync Kind = "disco-over"   // the full list is published again

	ClientsLeave        Kind = "leave"  // clients close, reset or half-close during their calls
	ClientsSlowSend     Kind = "dawdle" // requests are sent slowly in pieces, some never complete
	ClientsFlood        Kind = "flood"  // connections without data, more than the dispatcher can hold
	ClientsRetry        Kind = "retry"  // refused calls are sent again at once, on new connections
	ClientsShortTimeout Kind = "brief"  // clients have very short timeouts
	ClientsCrowd        Kind = "crowd"  // further clients send calls all the time, on connections that they keep
	ClientsBurst        Kind = "burst"  // more clients than the dispatcher can hold send calls, on new connections

	PeersLost      Kind = "deaf"  // all datagrams are lost
	PeersDuplicate Kind = "twins" // datagrams are duplicated and delayed

	ClockStep     Kind = "clock"   // the wall clock of some processes steps
	AcceptFails   Kind = "accept"  // accepts fail
	ConnectFails  Kind = "connect" // connects fail for lack of local resources
	ConnectLate   Kind = "late"    // connects to executors are delayed
	TransferFails Kind = "io"      // reads and writes are short or interrupted
	DiskFails     Kind = "disk"    // file writes fail or end in the middle
)

// Kinds returns all kinds of fault.
func Kinds() []Kind {
	return []Kind{
		Terminate, Crash, Signals, Pause, Reload, ReloadInvalid,
		ExecutorHang, ExecutorVanish, ExecutorReset, ExecutorSlow,
		ExecutorDrain,
		ExecutorRenew, IdleClosed, AnswerDuplicate, AnswerFragmented, AnswerTruncated, ExecutorErrors, DiscoverySilent,
		DiscoveryReset, DiscoverySlow, DiscoveryCutOff,
		DiscoveryResync, ClientsLeave, ClientsSlowSend, ClientsFlood, ClientsRetry, ClientsShortTimeout, ClientsBurst,
		ClientsCrowd, PeersLost,
		PeersDuplicate, ClockStep,
		AcceptFails, ConnectFails, ConnectLate, TransferFails, DiskFails,
	}
}

// Fault is one fault of a schedule. Times are relative to the start of the clients.
type Fault struct {
	Kind    Kind          `json:"kind"`
	At      time.Duration `json:"at"`
	For     time.Duration `json:"for"`
	Targets []int         `json:"targets"` // dispatchers or executors, depending on the kind
	Amount  float64       `json:"amount"`  // strength, from 0 to 1; its meaning depends on the kind
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %v for %v on %v (%.2f)", f.Kind, f.At, f.For, f.Targets, f.Amount)
}

// Schedule describes a complete run. It is pure data, which is drawn from a seed, stored as JSON
// and shortened.
type Schedule struct {
	Seed       uint64        `json:"seed"`
	Processes  int           `json:"processes"`
	Executors  int           `json:"executors"`
	Deployment string        `json:"deployment"` // planning or render
	CachedList bool          `json:"kept"`       // dispatchers cache the endpoint list on disk
	FaultTime  time.Duration `json:"trouble"`    // duration of the phase with faults
	Calm       time.Duration `json:"calm"`       // duration of the phase without faults after it
	Faults     []Fault       `json:"troubles"`
}

// Times and sizes of a drawn schedule.
const (
	firstFault          = 400 * time.Millisecond
	faultTime           = 3200 * time.Millisecond
	calmTime            = 2500 * time.Millisecond
	minFaultTime        = 300 * time.Millisecond
	maxFaultTime        = 1800 * time.Millisecond
	maxBurstTime        = 500 * time.Millisecond
	executorsPerProcess = 1.2 // executors per process

	outageSeedInterval  = 6                // one of this many seeds has a long outage of discovery
	outageTime          = 13 * time.Second // of the outage; longer than drainNoticeTimeout
	outageDrainInterval = 1500 * time.Millisecond
)

// Deployments of a schedule.
const (
	Planning = "planning"
	Render   = "render"
)

// Draw returns the schedule of a seed, which has waves of two or three overlapping faults. only
// restricts the kinds of fault; if it is empty, all are used.
func Draw(seed uint64, processes int, only []Kind) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	schedule := Schedule{
		Seed: seed, Processes: processes, Executors: max(6, int(executorsPerProcess*float64(processes))),
		Deployment: Planning,
		CachedList: rng.IntN(2) == 0, FaultTime: faultTime, Calm: calmTime,
	}
	if seed%2 == 1 {
		schedule.Deployment = Render
	}
	kinds := only
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	for at := firstFault; at < faultTime-minFaultTime; at += minFaultTime + maxFaultTime/2 {
		for _, kind := range drawWave(rng, kinds) {
			schedule.Faults = append(schedule.Faults, drawFault(rng, schedule, kind, at))
			// without it, there is no file whose writes could fail
			schedule.CachedList = schedule.CachedList || kind == DiskFails
		}
	}
	if len(only) == 0 && seed%outageSeedInterval == 0 {
		schedule.addOutage(rng)
	}
	return schedule
}

// addOutage extends a schedule by an outage of discovery for all dispatchers over nearly all of its
// time. Two executors start to drain during it, one after the other, for longer than
// drainNoticeTimeout.
func (s *Schedule) addOutage(rng *rand.Rand) {
	kind := DiscoverySilent
	if rng.IntN(2) == 0 {
		kind = DiscoveryCutOff
	}
	allNodes := make([]int, s.Processes)
	for i := range allNodes {
		allNodes[i] = i
	}
	s.FaultTime = outageTime + 2*firstFault
	s.Faults = append(s.Faults, Fault{Kind: kind, At: firstFault, For: outageTime, Targets: allNodes})
	for i, executor := range rng.Perm(s.Executors)[:2] {
		at := firstFault + time.Duration(1+i)*outageDrainInterval
		s.Faults = append(s.Faults, Fault{
			Kind: ExecutorDrain, At: at, For: s.FaultTime - at - firstFault, Targets: []int{executor},
		})
	}
}

// knownInteractions are pairs of faults that are known to be able to affect the same request. Half
// of the waves start with the pair drawn for them, if its kinds are allowed.
var knownInteractions = [][]Kind{
	{ClientsLeave, ConnectLate},
	{ExecutorDrain, ConnectLate},
	{ClientsBurst, ClientsFlood},
	{ClientsBurst, AnswerDuplicate},
	{AcceptFails, Terminate},
	{ClockStep, ExecutorErrors},
	{Pause, ClientsLeave},
	{Terminate, ClientsSlowSend},
	{ClientsShortTimeout, ConnectLate},
	{ExecutorRenew, ClientsBurst},
	{Reload, Terminate},
	{ExecutorHang, Terminate},
}

// drawWave draws two or three kinds of fault that occur together.
func drawWave(rng *rand.Rand, kinds []Kind) []Kind {
	rest := slices.Clone(kinds)
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	pair := knownInteractions[rng.IntN(len(knownInteractions))]
	if slices.Contains(kinds, pair[0]) && slices.Contains(kinds, pair[1]) && rng.IntN(2) == 0 {
		rest = append(slices.Clone(pair), slices.DeleteFunc(rest,
			func(k Kind) bool { return slices.Contains(pair, k) })...)
	}
	return rest[:min(len(rest), 2+rng.IntN(2))]
}

// drawFault draws one fault that starts up to minFaultTime after at.
func drawFault(rng *rand.Rand, schedule Schedule, kind Kind, at time.Duration) Fault {
	begin := at + time.Duration(rng.Int64N(int64(minFaultTime)))
	fault := Fault{
		Kind: kind, At: begin, For: minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime))),
		Amount: rng.Float64(),
	}
	if kind == ClientsBurst {
		fault.For = min(fault.For, maxBurstTime)
	}
	if kind == ClientsCrowd {
		fault.For = schedule.FaultTime
	}
	fault.For = min(fault.For, schedule.FaultTime-fault.At)
	all, most := schedule.Processes, 3
	if kind.ofExecutors() {
		all, most = schedule.Executors, 4
	}
	switch kind {
	case ClientsLeave, ClientsSlowSend, ClientsRetry, ClientsShortTimeout, ClientsCrowd, DiscoveryResync,
		DiscoveryCutOff:
		most = all // the clients or channels of all dispatchers
		fault.Targets = rng.Perm(all)
	case Reload, ReloadInvalid, DiscoverySilent, DiscoveryReset, DiscoverySlow, PeersLost, PeersDuplicate, IdleClosed:
		most = all
	}
	if fault.Targets == nil {
		fault.Targets = rng.Perm(all)[:1+rng.IntN(min(most, all))]
	}
	slices.Sort(fault.Targets)
	return fault
}

// ofExecutors reports whether the targets of a kind are executors.
func (k Kind) ofExecutors() bool {
	switch k {
	case ExecutorHang, ExecutorVanish, ExecutorReset, ExecutorSlow, ExecutorDrain, ExecutorRenew, IdleClosed,
		AnswerDuplicate, AnswerFragmented,
		AnswerTruncated, ExecutorErrors:
		return true
	}
	return false
}

// ParseKinds parses a comma-separated list of kinds. The error names an unknown kind and lists all
// kinds.
func ParseKinds(text string) ([]Kind, error) {
	var out []Kind
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(Kinds(), Kind(name)) {
			return nil, fmt.Errorf("fault kind %q is not known; known are %v", name, Kinds())
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// Pairs returns the sorted names of the pairs of different kinds that overlap in time.
func (s Schedule) Pairs() []string {
	var out []string
	for i, a := range s.Faults {
		for _, b := range s.Faults[i+1:] {
			if a.Kind == b.Kind || a.At+a.For < b.At || b.At+b.For < a.At {
				continue
			}
			first, second := a.Kind, b.Kind
			if cmp.Compare(first, second) > 0 {
				first, second = second, first
			}
			if name := string(first + "+" + second); !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Shorten returns a schedule from which each fault is removed, and then the duration of each
// remaining one halved, wherever fails reports that the run still fails.
func (s Schedule) Shorten(fails func(Schedule) bool) Schedule {
	for i := 0; i < len(s.Faults); {
		candidate := s
		candidate.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		if fails(candidate) {
			s = candidate
		} else {
			i++
		}
	}
	for i := range s.Faults {
		candidate := s
		candidate.Faults = slices.Clone(s.Faults)
		candidate.Faults[i].For /= 2
		if candidate.Faults[i].For >= minFaultTime/4 && fails(candidate) {
			s = candidate
		}
	}
	return s
}

// Write writes the schedule as JSON to a file, which is replaced.
func (s Schedule) Write(path string) error {
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// ReadSchedule reads a schedule from a JSON file. The error also reports an invalid schedule.
func ReadSchedule(path string) (schedule Schedule, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return schedule, fmt.Errorf("schedule: %w", err)
	}
	if err := json.Unmarshal(raw, &schedule); err != nil {
		return schedule, fmt.Errorf("schedule %s: %w", path, err)
	}
	if schedule.Processes < 1 || schedule.Executors < 1 || schedule.FaultTime <= 0 {
		return schedule, fmt.Errorf("schedule %s: processes, executors and trouble must be above 0", path)
	}
	for _, fault := range schedule.Faults {
		if !slices.Contains(Kinds(), fault.Kind) {
			return schedule, fmt.Errorf("schedule %s: fault kind %q is not known", path, fault.Kind)
		}
		all := schedule.Processes
		if fault.Kind.ofExecutors() {
			all = schedule.Executors
		}
		for _, target := range fault.Targets {
			if target < 0 || target >= all {
				return schedule, fmt.Errorf("schedule %s: %s has no target %d", path, fault.Kind, target)
			}
		}
	}
	return schedule, nil
}
