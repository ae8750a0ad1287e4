package lab

import (
	"math"

	"golang.org/x/sys/unix"
)

// part is a kind of work of a dispatcher that the meter counts separately.
type part int

const (
	partChoice part = iota
	partUpkeep
	partWrite // upkeep that wrote a message
	partRead
	partList
	partFullList
	partConfig
	parts
)

// meter measures the costs of dispatchers. A nil meter measures nothing. Time is the thread's CPU time,
// read before and after each event and around each call of the host, whose work does not belong to the
// dispatcher; reading the clock takes about 0.6 us, which is subtracted. Garbage collections do not
// count: they run only between events.
type meter struct {
	on       bool // measuring, within the span
	fullList bool // the update being processed is a full list
	in       bool
	node     int
	part     part
	wrote    bool
	from     int64
	spent    int64
	read     int64 // ns that reading the clock takes
	times    [parts]int64
	counts   [parts]int

	second                int64 // of the span, that the counts below belong to
	cpu, inBytes, outByte []int64
	collects              []bool
	most                  [5]int64 // busiest second of any dispatcher: ns, bytes in and out, bytes in and out of leaders
	sums                  [4]int   // bytes and messages in, bytes and messages out
}

// clock returns the CPU time of this thread in nanoseconds.
func clock() int64 {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts)
	return ts.Nano()
}

// newMeter returns a meter for n dispatchers, calibrated with the time that reading the clock takes.
func newMeter(n int) meter {
	m := meter{
		cpu: make([]int64, n), inBytes: make([]int64, n), outByte: make([]int64, n), collects: make([]bool, n),
		read: math.MaxInt64,
	}
	for range 1000 {
		a := clock()
		m.read = min(m.read, clock()-a)
	}
	return m
}

// begin starts the measurement of one step of a dispatcher.
func (m *meter) begin(node int, p part) {
	if m == nil {
		return
	}
	if p == partList && m.fullList {
		p = partFullList
	}
	m.in, m.node, m.part, m.wrote, m.spent = true, node, p, false, 0
	m.from = clock()
}

func (m *meter) pause() {
	if m != nil && m.in {
		m.spent += clock() - m.from - m.read
	}
}

func (m *meter) resume() {
	if m != nil && m.in {
		m.from = clock()
	}
}

// end adds the step's time to its kind of work.
func (m *meter) end() {
	if m == nil {
		return
	}
	m.pause()
	if m.in = false; m.part == partUpkeep && m.wrote {
		m.part = partWrite
	}
	if m.on || m.part == partFullList || m.part == partConfig {
		m.times[m.part] += max(0, m.spent)
		if m.part != partList && m.part != partFullList { // one change takes two steps, so notify counts it
			m.counts[m.part]++
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
		for i, x := range []int64{m.cpu[n], m.inBytes[n], m.outByte[n]} {
			if m.most[i] = max(m.most[i], x); i > 0 && m.collects[n] {
				m.most[i+2] = max(m.most[i+2], x)
			}
		}
	}
	clear(m.cpu)
	clear(m.inBytes)
	clear(m.outByte)
	clear(m.collects)
}
