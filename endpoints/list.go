// Package roster owns the list of planner boxes: what discovery told, when, and what each box has proved since. It lets
// a dispatcher start from a list kept on disk while discovery is down, and makes of it the list that the decision
// module is given. A List is one single-threaded state machine: events in with now, actions out; no clock, no
// goroutine, no I/O. Which box a call goes to is the module's choice, never made here.
package endpoints

import (
	rand "math/rand/v2"
	"slices"
	"time"

	"oakthread/balancer"
)

type entry struct {
	Endpoint
	proof   Verification
	belief  float64   // trust when the last evidence came
	at      time.Time // of the last evidence; zero: unknown
	unknown bool      // its age is not known
	probeAt time.Time
	probing bool
	wait    time.Duration
	drainAt time.Time // its own word
	base    float64   // calls a second that it answered us before the start
	proofs  int       // in the ramp: how often it proved itself, less the setbacks
	proofAt time.Time
	set     bool      // it had a setback
	askAt   time.Time // of the last probe
	asked   bool      // a probe of it has ended
	first   bool      // it is among those asked first
	answers float64   // decaying over paceSpan
	ansAt   time.Time
	since   time.Time // of the first answer counted
	listed  bool      // the module knows it
	shown   Endpoint
}

// List is the list of boxes. Use New; its methods are called from one goroutine at a time.
type List struct {
	cfg       Config
	rng       *rand.Rand
	boxes     map[balancer.WorkerID]*entry
	order     []*entry // by id
	history   History
	epoch     string
	cursor    int64
	confirmed time.Time
	live      bool // discovery's word is current
	began     bool // a list was published
	out       Actions
	probing   int
	savedAt   time.Time
	gate      gate
	mourned   bool
}

// New makes an empty List.
func New(cfg Config) *List {
	cfg.Siblings = max(1, cfg.Siblings)
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = time.Second
	}
	if cfg.ProbeRate <= 0 {
		cfg.ProbeRate = defaultProbeRate
	}
	if cfg.Budget <= 0 {
		cfg.Budget = defaultBudget
	}
	return &List{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x726f7374)), boxes: map[balancer.WorkerID]*entry{}}
}

func (l *List) add(b Endpoint) *entry {
	e := &entry{Endpoint: b, belief: 1}
	l.boxes[b.ID] = e
	i, _ := slices.BinarySearchFunc(l.order, e, byID)
	l.order = slices.Insert(l.order, i, e)
	return e
}

func byID(a, b *entry) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

// Live tells whether discovery's word is current; Cursor and Epoch where it stands.
func (l *List) Live() bool        { return l.live }
func (l *List) Cursor() int64     { return l.cursor }
func (l *List) Epoch() string     { return l.epoch }
func (l *List) InSlowStart() bool { return l.gate.on }
func (l *List) Usable() (n int) {
	for _, e := range l.order {
		if l.usable(e) && e.proof != Draining && e.State == balancer.Active {
			n++
		}
	}
	return n
}
