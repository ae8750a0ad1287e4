// Package soak runs real dispatcher processes on loopback under overlapping faults, drawn from a
// seed, and checks what clients and executors saw against the platform's rules. What a dispatcher
// reports of itself is not used.
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
	Terminate     Kind = "terminate" // SIGTERM, then a start on the same address
	Crash         Kind = "crash"     // SIGKILL, then a start on the same address
	Signals       Kind = "signals"   // SIGHUP and SIGTERM in series, then a start on the same address
	Pause         Kind = "pause"     // SIGSTOP and SIGCONT
	Reload        Kind = "reload"    // SIGHUP with a good file
	ReloadInvalid Kind = "reloadbad" // SIGHUP with a file that lacks keys, or is cut off in the middle

	ExecutorHang   Kind = "hang"      // connections come up, and nothing passes on them
	ExecutorVanish Kind = "vanish"    // connections stay open and silent, new ones never come up
	ExecutorReset  Kind = "reset"     // connections are reset
	ExecutorSlow   Kind = "slow"      // all that passes is late
	ExecutorDrain  Kind = "drain"     // it drains, and is listed as that
	ExecutorRenew  Kind = "renew"     // another one, not warmed up, takes its address
	IdleClosed     Kind = "idleclose" // connections are closed after their answers
	AnswerTwice    Kind = "twice"     // a second answer comes behind the first, at once or some milliseconds later
	AnswerPieces   Kind = "pieces"    // an answer comes in pieces
	AnswerCut      Kind = "cut"       // an answer ends in the middle
	ExecutorErrors Kind = "errors"    // calls run and fail at once

	DiscoverySilent Kind = "disco-silent" // its connections stay open, and nothing comes
	DiscoveryReset  Kind = "disco-reset"  // its connections are reset, also within a line
	DiscoverySlow   Kind = "disco-slow"   // all that it sends is late
	DiscoveryCutOff Kind = "disco-cut"    // its heartbeats go on, and no event comes to anyone
	DiscoveryOver   Kind = "disco-over"   // the full list comes again

	ClientsLeave  Kind = "leave"  // clients close, reset or half-close while their calls are in hand
	ClientsDawdle Kind = "dawdle" // requests come in pieces, some never complete
	ClientsFlood  Kind = "flood"  // connections that say nothing, more than there are places
	ClientsRetry  Kind = "retry"  // refused calls come again at once, on new connections
	ClientsBrief  Kind = "brief"  // clients have very little time
	ClientsCrowd  Kind = "crowd"  // further clients ask all the time, each on a connection that it keeps
	ClientsBurst  Kind = "burst"  // more clients ask at once than there are places, each on a new connection

	PeersDeaf  Kind = "deaf"  // no datagrams come
	PeersTwice Kind = "twins" // datagrams come twice and late

	ClockStep     Kind = "clock"   // the wall clock of some processes steps
	AcceptFails   Kind = "accept"  // accepts fail
	ConnectFails  Kind = "connect" // connects fail for want of this machine's
	ConnectLate   Kind = "late"    // connections to executors come up late
	TransferFails Kind = "io"      // reads and writes are short or interrupted
	DiskFails     Kind = "disk"    // writes of files fail, or end in the middle
)

// Kinds lists them all.
func Kinds() []Kind {
	return []Kind{
		Terminate, Crash, Signals, Pause, Reload, ReloadInvalid,
		ExecutorHang, ExecutorVanish, ExecutorReset, ExecutorSlow,
		ExecutorDrain,
		ExecutorRenew, IdleClosed, AnswerTwice, AnswerPieces, AnswerCut, ExecutorErrors, DiscoverySilent,
		DiscoveryReset, DiscoverySlow, DiscoveryCutOff,
		DiscoveryOver, ClientsLeave, ClientsDawdle, ClientsFlood, ClientsRetry, ClientsBrief, ClientsBurst,
		ClientsCrowd, PeersDeaf,
		PeersTwice, ClockStep,
		AcceptFails, ConnectFails, ConnectLate, TransferFails, DiskFails,
	}
}

// Fault is one fault of a schedule. Times count from when the clients begin.
type Fault struct {
	Kind    Kind          `json:"kind"`
	At      time.Duration `json:"at"`
	For     time.Duration `json:"for"`
	Targets []int         `json:"targets"` // dispatchers or executors, by the kind
	Amount  float64       `json:"amount"`  // by the kind: 0 to 1
}

func (t Fault) String() string {
	return fmt.Sprintf("%s at %v for %v on %v (%.2f)", t.Kind, t.At, t.For, t.Targets, t.Amount)
}

// Schedule is a complete run: its faults are drawn from a seed, stored as JSON and shortened. It is
// pure data.
type Schedule struct {
	Seed       uint64        `json:"seed"`
	Processes  int           `json:"processes"`
	Executors  int           `json:"executors"`
	Deployment string        `json:"deployment"` // planning or render
	CachedList bool          `json:"kept"`       // dispatchers keep the list on disk
	FaultTime  time.Duration `json:"trouble"`    // for so long faults go on
	Calm       time.Duration `json:"calm"`       // and then none
	Faults     []Fault       `json:"troubles"`
}

// Figures of a run.
const (
	firstFault    = 400 * time.Millisecond
	faultTime     = 3200 * time.Millisecond
	calmTime      = 2500 * time.Millisecond
	shortest      = 300 * time.Millisecond
	longest       = 1800 * time.Millisecond
	maxBurst      = 500 * time.Millisecond
	executorsPart = 1.2 // executors for each process

	outageEvery = 6                // of so many seeds one has a long outage of discovery
	outageTime  = 13 * time.Second // how long that lasts: longer than a drain takes to be told
	outageDrain = 1500 * time.Millisecond
)

// Deployments that runs are drawn for.
const (
	Planning = "planning"
	Render   = "render"
)

// Draw makes the schedule of a seed: waves of two or three overlapping faults. only restricts the
// kinds; empty: all.
func Draw(seed uint64, processes int, only []Kind) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	schedule := Schedule{
		Seed: seed, Processes: processes, Executors: max(6, int(executorsPart*float64(processes))),
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
	for at := firstFault; at < faultTime-shortest; at += shortest + longest/2 {
		for _, kind := range wave(rng, kinds) {
			schedule.Faults = append(schedule.Faults, draw(rng, schedule, kind, at))
			// else there is no file whose writes could fail
			schedule.CachedList = schedule.CachedList || kind == DiskFails
		}
	}
	if len(only) == 0 && seed%outageEvery == 0 {
		schedule.addOutage(rng)
	}
	return schedule
}

// addOutage makes a schedule longer, with discovery out of reach of every dispatcher nearly all the time
// and executors that drain meanwhile, one after the other, for longer than a drain takes to be told.
func (s *Schedule) addOutage(rng *rand.Rand) {
	kind := DiscoverySilent
	if rng.IntN(2) == 0 {
		kind = DiscoveryCutOff
	}
	everybody := make([]int, s.Processes)
	for i := range everybody {
		everybody[i] = i
	}
	s.FaultTime = outageTime + 2*firstFault
	s.Faults = append(s.Faults, Fault{Kind: kind, At: firstFault, For: outageTime, Targets: everybody})
	for i, executor := range rng.Perm(s.Executors)[:2] {
		at := firstFault + time.Duration(1+i)*outageDrain
		s.Faults = append(s.Faults, Fault{
			Kind: ExecutorDrain, At: at, For: s.FaultTime - at - firstFault, Targets: []int{executor},
		})
	}
}

// knownInteractions are faults of which it is known that they can meet at a request; half of the
// waves begin with one of these.
var knownInteractions = [][]Kind{
	{ClientsLeave, ConnectLate},
	{ExecutorDrain, ConnectLate},
	{ClientsBurst, ClientsFlood},
	{ClientsBurst, AnswerTwice},
	{AcceptFails, Terminate},
	{ClockStep, ExecutorErrors},
	{Pause, ClientsLeave},
	{Terminate, ClientsDawdle},
	{ClientsBrief, ConnectLate},
	{ExecutorRenew, ClientsBurst},
	{Reload, Terminate},
	{ExecutorHang, Terminate},
}

// wave draws two or three kinds that come together.
func wave(rng *rand.Rand, kinds []Kind) []Kind {
	rest := slices.Clone(kinds)
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	pair := knownInteractions[rng.IntN(len(knownInteractions))]
	if slices.Contains(kinds, pair[0]) && slices.Contains(kinds, pair[1]) && rng.IntN(2) == 0 {
		rest = append(slices.Clone(pair), slices.DeleteFunc(rest,
			func(k Kind) bool { return slices.Contains(pair, k) })...)
	}
	return rest[:min(len(rest), 2+rng.IntN(2))]
}

// draw makes one fault that begins about a time.
func draw(rng *rand.Rand, schedule Schedule, kind Kind, at time.Duration) Fault {
	begin := at + time.Duration(rng.Int64N(int64(shortest)))
	fault := Fault{
		Kind: kind, At: begin, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
		Amount: rng.Float64(),
	}
	if kind == ClientsBurst {
		fault.For = min(fault.For, maxBurst)
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
	case ClientsLeave, ClientsDawdle, ClientsRetry, ClientsBrief, ClientsCrowd, DiscoveryOver, DiscoveryCutOff:
		most = all // all dispatchers have such clients
		fault.Targets = rng.Perm(all)
	case Reload, ReloadInvalid, DiscoverySilent, DiscoveryReset, DiscoverySlow, PeersDeaf, PeersTwice, IdleClosed:
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
		AnswerTwice, AnswerPieces,
		AnswerCut, ExecutorErrors:
		return true
	}
	return false
}

// ParseKinds reads kinds parted by commas; an unknown one is answered with those known.
func ParseKinds(text string) ([]Kind, error) {
	var out []Kind
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(Kinds(), Kind(name)) {
			return nil, fmt.Errorf("trouble %q is not known; known are %v", name, Kinds())
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// Pairs are the pairs of kinds that overlap in time, each named once, in order.
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

// Shorten leaves out faults, and then halves how long they last, as long as the run still fails.
func (s Schedule) Shorten(fails func(Schedule) bool) Schedule {
	for i := 0; i < len(s.Faults); {
		less := s
		less.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		if fails(less) {
			s = less
		} else {
			i++
		}
	}
	for i := range s.Faults {
		less := s
		less.Faults = slices.Clone(s.Faults)
		less.Faults[i].For /= 2
		if less.Faults[i].For >= shortest/4 && fails(less) {
			s = less
		}
	}
	return s
}

// Write keeps a schedule in a file; ReadSchedule reads one.
func (s Schedule) Write(path string) error {
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// ReadSchedule reads a schedule from a file.
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
			return schedule, fmt.Errorf("schedule %s: trouble %q is not known", path, fault.Kind)
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
