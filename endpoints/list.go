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
	verification    Verification
	confidence      float64   // trust when the last evidence came
	evidenceAt      time.Time // of the last evidence; zero: unknown
	ageUnknown      bool      // its age is not known
	checkDue        time.Time
	checkInFlight   bool
	checkBackoff    time.Duration
	drainReportedAt time.Time // its own word
	formerRate      float64   // calls a second that it answered us before the start
	successes       int       // in the ramp: how often it proved itself, less the setbacks
	successAt       time.Time
	hadSetback      bool      // it had a setback
	lastCheckAt     time.Time // of the last probe
	checkCompleted  bool      // a probe of it has ended
	initialCheck    bool      // it is among those asked first
	responses       float64   // decaying over paceSpan
	responseAt      time.Time
	firstResponseAt time.Time // of the first answer counted
	isPublished     bool      // the module knows it
	published       Endpoint
}

// List is the list of boxes. Use New; its methods are called from one goroutine at a time.
type List struct {
	config              Config
	rng                 *rand.Rand
	entries             map[balancer.WorkerID]*entry
	sorted              []*entry // by id
	history             History
	epoch               string
	cursor              int64
	confirmedAt         time.Time
	live                bool // discovery's word is current
	hasPublished        bool // a list was published
	pending             Actions
	checksInFlight      int
	confirmationSavedAt time.Time
	slowStart           slowStart
	reportedExhausted   bool
}

// New makes an empty List.
func New(cfg Config) *List {
	cfg.Siblings = max(1, cfg.Siblings)
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = time.Second
	}
	if cfg.ProbeRate <= 0 {
		cfg.ProbeRate = defaultHealthCheckRate
	}
	if cfg.Budget <= 0 {
		cfg.Budget = defaultInitialLoadFraction
	}
	return &List{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x726f7374)), entries: map[balancer.WorkerID]*entry{}}
}

func (l *List) insert(b Endpoint) *entry {
	e := &entry{Endpoint: b, confidence: 1}
	l.entries[b.ID] = e
	i, _ := slices.BinarySearchFunc(l.sorted, e, compareByID)
	l.sorted = slices.Insert(l.sorted, i, e)
	return e
}

func compareByID(a, b *entry) int {
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
func (l *List) InSlowStart() bool { return l.slowStart.active }
func (l *List) Usable() (n int) {
	for _, e := range l.sorted {
		if l.isUsable(e) && e.verification != Draining && e.State == balancer.Active {
			n++
		}
	}
	return n
}
