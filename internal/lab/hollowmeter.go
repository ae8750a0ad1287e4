package lab

import (
	"math"

	"golang.org/x/sys/unix"
)

// workKind is a kind of work of a dispatcher that the meter counts separately.
type workKind int

const (
	partChoice workKind = iota
	partUpkeep
	partWrite // upkeep that wrote a message
	partRead
	partList
	partFullList
	partConfig
	workKinds
)

// meter measures the costs of dispatchers. A nil meter measures nothing. Time is the thread's CPU
// time, read before and after each event and around each call of the host, whose work does not
// belong to the dispatcher; reading the clock takes about 0.6 us, which is subtracted. Garbage
// collections do not count: they run only between events.
type meter struct {
	on        bool // measuring, within the span
	fullList  bool // the update being processed is a full list
	running   bool
	node      int
	kind      workKind
	wrote     bool
	startedAt int64
	spent     int64
	clockCost int64 // ns that reading the clock takes
	times     [workKinds]int64
	counts    [workKinds]int

	second                 int64 // of the span, that the counts below belong to
	cpu, inBytes, outBytes []int64
	leads                  []bool
	busiest                [5]int64 // of any dispatcher: ns, bytes in and out, bytes in and out of leaders
	totals                 [4]int   // bytes and messages in, bytes and messages out
}

// threadCPUTime returns the CPU time of this thread in nanoseconds.
func threadCPUTime() int64 {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts)
	return ts.Nano()
}

// newMeter returns a meter for n dispatchers, calibrated with the time that reading the clock
// takes.
func newMeter(n int) meter {
	m := meter{
		cpu: make([]int64, n), inBytes: make([]int64, n), outBytes: make([]int64, n), leads: make([]bool, n),
		clockCost: math.MaxInt64,
	}
	for range 1000 {
		a := threadCPUTime()
		m.clockCost = min(m.clockCost, threadCPUTime()-a)
	}
	return m
}

// begin starts the measurement of one step of a dispatcher.
func (m *meter) begin(node int, p workKind) {
	if m == nil {
		return
	}
	if p == partList && m.fullList {
		p = partFullList
	}
	m.running, m.node, m.kind, m.wrote, m.spent = true, node, p, false, 0
	m.startedAt = threadCPUTime()
}

func (m *meter) pause() {
	if m != nil && m.running {
		m.spent += threadCPUTime() - m.startedAt - m.clockCost
	}
}

func (m *meter) resume() {
	if m != nil && m.running {
		m.startedAt = threadCPUTime()
	}
}

// end adds the step's time to its kind of work.
func (m *meter) end() {
	if m == nil {
		return
	}
	m.pause()
	if m.running = false; m.kind == partUpkeep && m.wrote {
		m.kind = partWrite
	}
	if m.on || m.kind == partFullList || m.kind == partConfig {
		m.times[m.kind] += max(0, m.spent)
		if m.kind != partList && m.kind != partFullList { // one change takes two steps, so notify counts it
			m.counts[m.kind]++
		}
	}
	if m.on {
		m.cpu[m.node] += max(0, m.spent)
	}
}

// roll ends a second when another begins: its counts update the busiest second and are cleared.
func (m *meter) roll(second int64) {
	if !m.on || second == m.second {
		return
	}
	m.second = second
	for n := range m.cpu {
		for i, x := range []int64{m.cpu[n], m.inBytes[n], m.outBytes[n]} {
			if m.busiest[i] = max(m.busiest[i], x); i > 0 && m.leads[n] {
				m.busiest[i+2] = max(m.busiest[i+2], x)
			}
		}
	}
	clear(m.cpu)
	clear(m.inBytes)
	clear(m.outBytes)
	clear(m.leads)
}
