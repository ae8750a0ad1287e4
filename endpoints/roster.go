// Package roster owns the list of planner boxes: what discovery told, when, and what each box has proved since. It lets
// a dispatcher start from a list kept on disk while discovery is down, and makes of it the list that the decision
// module is given. A List is one single-threaded state machine: events in with now, actions out; no clock, no
// goroutine, no I/O. Which box a call goes to is the module's choice, never made here.
package endpoints

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oakthread/balancer"
)

const (
	// A box that is there refuses a connection, or stays silent for a probe's time, with these chances. By Bayes' rule
	// each turns trust t into tq/(tq+1-t).
	refusedThough = 0.02
	silentThough  = 0.1
	mostSure      = 0.95                   // of a box that just answered, for it may have died since
	leaveOut      = 0.05                   // trust below which a box is left out
	probeAgain    = 100 * time.Millisecond // after a first doubt
	probeMost     = 30 * time.Second       // between probes of a box left out
	probesOut     = 32                     // at a time
	eager         = 3                      // boxes asked at once after a start
	eagerTime     = 150 * time.Millisecond // and for so long as many as all dispatchers together may ask
	eagerLeast    = 8
	laterTime     = 600 * time.Millisecond // the others wait until those have proved themselves
	restless      = 0.9                    // trust below which a box in use is asked again while discovery is away
	busyAgain     = 250 * time.Millisecond // between probes of a box that turns calls away
	ownWord       = 10 * time.Second       // a box's word that it drains stands against discovery's, which is seconds late
	confirmEvery  = 5 * time.Second        // the list's age on disk is at most this much too old
	paceSpan      = 10 * time.Second
	weightSteps   = 4 // a box that had a setback counts at 1/4, 2/4 .. of its weight

	defaultProbeRate = 300 // probes a second that all dispatchers together send to one box
)

// Endpoint is an entry of the list: what was told of it, and what it proved.
type Endpoint struct {
	ID               balancer.WorkerID
	Addr             string
	Zone, Kind, Cell int
	State            balancer.EndpointState
	Weight           float64
	Start            time.Time // zero: long ago
	UpdatedAt        time.Time // when discovery last told of a change
	VerifiedAt       time.Time // when it last answered us
	RequestRate      float64   // calls a second that it answered us
}

// Snapshot is a list as it was written to disk.
type Snapshot struct {
	Epoch     string
	Cursor    int64
	Confirmed time.Time // discovery last said then that the list is current
	Saved     time.Time
	Endpoints []Endpoint
	History   History
}

// Update is news of discovery. Full: all of the list; a box not in it is gone.
type Update struct {
	Full      bool
	Epoch     string
	Cursor    int64
	Endpoints []Endpoint
}

// Observation is what an attempt, probe or order showed of a box.
type Observation int

const (
	Answered Observation = iota // it answered in good time
	Slow                        // it answered, late
	Busy                        // 503, never ran: full, or it drains
	Drains                      // it says that it takes no work
	Refused                     // nobody listens there
	Silent                      // nothing came in time
	Broken                      // cut or failed: somebody is there
)

// Verification is how a box stands with us.
type Verification int

const (
	Reported   Verification = iota // by discovery, which is there
	Unverified                     // by a kept list alone
	Verified                       // it answered
	Suspect                        // it failed us
	Excluded                       // it failed us until little trust was left
	Draining                       // it said so itself
)

func (p Verification) String() string {
	return [...]string{"told", "unproved", "proven", "doubted", "left out", "draining"}[p]
}

// Config is what a List is made with. The zero value works.
type Config struct {
	Seed      uint64
	Siblings  int           // dispatchers that may have restarted together with this one
	MaxWait   time.Duration // longest wait told to a call; 0: 1 s
	Budget    float64       // part of its former load that a box which may be cold can take; 0: 0.36
	ProbeRate float64       // probes a second at one box from all together; 0: 300
	// Fresh is the baseline of experiments: kept entries count as if just told.
	Fresh bool
}

// Actions are what a List wants done. Publish goes to the decision module, in order.
type Actions struct {
	Publish []Publication
	Probe   []Endpoint
	Save    bool // the list has changed: write it some time
	Urgent  bool // a box drains or is gone: write it now
	Log     []string
}

// Publication is a change of the list as the decision module sees it.
type Publication struct {
	Kind      balancer.EndpointUpdateKind
	Endpoints []Endpoint
}

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

// TakeActions returns what is to be done since the last call.
func (l *List) TakeActions() Actions {
	a := l.out
	l.out = Actions{}
	return a
}

func (l *List) log(format string, args ...any) {
	l.out.Log = append(l.out.Log, fmt.Sprintf(format, args...))
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

// Restore starts from a kept list. It must be the first event.
func (l *List) Restore(now time.Time, k Snapshot) {
	l.history, l.epoch, l.cursor, l.confirmed = k.History, k.Epoch, k.Cursor, k.Confirmed
	aged := true
	if k.Confirmed.After(now) || k.Saved.After(now) {
		aged = false
		l.log("the clock went back: the kept list is of unknown age and counts as %v old", unknownAge)
	}
	for _, b := range k.Endpoints {
		if b.State == balancer.Removed || l.boxes[b.ID] != nil {
			continue
		}
		e := l.add(b)
		e.proof, e.at = Unverified, later(k.Confirmed, b.VerifiedAt)
		e.unknown = !aged || e.at.IsZero() || e.at.After(now)
		e.probeAt = now.Add(time.Duration(l.rng.Float64() * float64(l.spread())))
		e.base = b.RequestRate
		if b.State == balancer.Draining {
			e.proof = Draining
		}
	}
	if l.cfg.Fresh {
		for _, e := range l.order {
			e.proof, e.belief, e.at, e.unknown = Verified, 1, now, false
		}
		l.publish()
		return
	}
	l.rush(now)
	l.gate.start(l, now)
	if n := len(l.order); n > 0 {
		l.log("starting from a kept list of %d boxes, %v old, trusted %.2f on the mean", n, l.age(now).Round(time.Second), l.meanTrust(now))
	}
}

// spread is the time over which every box is asked once, so that all dispatchers together keep to ProbeRate.
func (l *List) spread() time.Duration {
	return time.Duration(float64(l.cfg.Siblings) / l.cfg.ProbeRate * float64(time.Second))
}

// rush has as many boxes asked first as ProbeRate allows within eagerTime, three of them at once: drawn from the most
// trusted, other ones at every dispatcher. The rest follow at their pace.
func (l *List) rush(now time.Time) {
	var es []*entry
	for _, e := range l.order {
		if e.proof == Unverified {
			es = append(es, e)
			e.probeAt = e.probeAt.Add(laterTime)
		}
	}
	l.rng.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
	slices.SortStableFunc(es, func(a, b *entry) int {
		return int(4*l.trust(now, b)) - int(4*l.trust(now, a))
	})
	most := int(l.cfg.ProbeRate * eagerTime.Seconds() * float64(len(es)) / float64(l.cfg.Siblings))
	for i, e := range es[:min(len(es), max(most, eagerLeast))] {
		e.first = true
		e.probeAt = now
		if i >= eager {
			e.probeAt = now.Add(time.Duration(l.rng.Float64() * float64(min(eagerTime, l.spread()))))
		}
	}
}

// round is the time between probes of one box in the ramp.
func (l *List) round(e *entry) time.Duration {
	if e.first {
		return max(proofGap, min(eagerTime, l.spread()))
	}
	return max(proofGap, l.spread())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *List) age(now time.Time) time.Duration {
	if l.confirmed.IsZero() || l.confirmed.After(now) {
		return unknownAge
	}
	return now.Sub(l.confirmed)
}

// Confidence is the chance that a box is there as the list has it, 0 for one not known.
func (l *List) Confidence(now time.Time, id balancer.WorkerID) float64 {
	if e := l.boxes[id]; e != nil {
		return l.trust(now, e)
	}
	return 0
}

func (l *List) trust(now time.Time, e *entry) float64 {
	at := e.at
	if l.live && e.proof == Reported {
		return 1
	}
	if e.unknown {
		return e.belief * l.history.Survival(unknownAge)
	}
	return e.belief * l.history.Survival(now.Sub(at))
}

func (l *List) meanTrust(now time.Time) float64 {
	sum := 0.0
	for _, e := range l.order {
		sum += l.trust(now, e)
	}
	return sum / float64(max(1, len(l.order)))
}

// doubt applies Bayes' rule to a failure that a box which is there shows with chance q.
func (l *List) doubt(now time.Time, e *entry, q float64) {
	t := min(l.trust(now, e), mostSure)
	e.belief, e.at, e.unknown = t*q/(t*q+1-t+1e-12), now, false
	e.wait = min(max(2*e.wait, probeAgain), probeMost)
	e.probeAt = now.Add(time.Duration(float64(e.wait) * (0.5 + l.rng.Float64())))
	if e.belief < leaveOut {
		if e.proof != Excluded {
			l.out.Save = true
		}
		e.proof = Excluded
	} else if e.proof != Excluded && e.proof != Draining {
		e.proof = Suspect
	}
	l.gate.setback(now, e)
}

// Discovery's word.

// HandleUpdate takes news of discovery. Its word replaces what was kept; what the box itself said lately of draining stands.
func (l *List) HandleUpdate(now time.Time, u Update) {
	if u.Epoch != "" && l.epoch != "" && u.Epoch != l.epoch && !u.Full {
		l.log("discovery speaks of epoch %q where the list is of %q: a change alone is not taken", u.Epoch, l.epoch)
		return
	}
	if u.Epoch != "" {
		l.epoch = u.Epoch
	}
	l.watched(now)
	l.cursor, l.out.Save = u.Cursor, true
	first := l.history.Watched == 0 && len(l.history.Events) == 0 && len(l.order) == 0
	named := make(map[balancer.WorkerID]bool, len(u.Endpoints))
	for _, b := range u.Endpoints {
		named[b.ID] = true
		e := l.boxes[b.ID]
		if b.State == balancer.Removed {
			l.gone(now, e)
			continue
		}
		b.UpdatedAt = now
		if e == nil {
			e = l.add(b)
			if !first {
				l.history.add(now, b.ID, Joined)
			}
		} else {
			if !b.Start.Equal(e.Start) || b.Addr != e.Addr { // it starts anew: nothing it proved holds
				l.history.add(now, b.ID, Restarted)
				e.drainAt, e.base, e.answers, e.wait, e.ansAt = time.Time{}, 0, 0, 0, time.Time{}
				e.VerifiedAt = time.Time{}
			} else if b.State == balancer.Active && e.State == balancer.Draining {
				e.drainAt = time.Time{} // a newer word on this very box
			}
			b.VerifiedAt, b.RequestRate = e.VerifiedAt, e.RequestRate
			if b.State == balancer.Draining && e.State != balancer.Draining {
				l.history.add(now, b.ID, Drained)
			}
			e.Endpoint = b
		}
		if b.State == balancer.Draining {
			l.out.Urgent = true
		}
		e.proof, e.belief, e.at, e.unknown = Reported, 1, now, false
	}
	if u.Full {
		for _, e := range slices.Clone(l.order) {
			if !named[e.ID] {
				l.gone(now, e)
			}
		}
		l.confirm(now, true)
		l.current(now)
	} else {
		l.publish()
	}
}

func (l *List) gone(now time.Time, e *entry) {
	if e == nil {
		return
	}
	l.history.add(now, e.ID, Left)
	l.out.Urgent, l.out.Save = true, true
	if e.listed {
		e.State = balancer.Removed
		e.proof = Reported
		l.show(e)
	}
	delete(l.boxes, e.ID)
	l.order = slices.DeleteFunc(l.order, func(x *entry) bool { return x == e })
}

// watched counts the time since discovery last confirmed the list as watched.
func (l *List) watched(now time.Time) {
	if !l.confirmed.IsZero() && now.After(l.confirmed) {
		l.history.watch(len(l.order), now.Sub(l.confirmed))
		l.confirmed = now
	}
}

// ConfirmCurrent takes discovery's word that nothing has changed after the last news: the whole list is as told.
func (l *List) ConfirmCurrent(now time.Time) {
	l.watched(now)
	l.confirm(now, false)
	if !l.live {
		l.current(now)
	}
}

func (l *List) confirm(now time.Time, full bool) {
	l.confirmed = now
	if full || now.Sub(l.savedAt) >= confirmEvery {
		l.savedAt, l.out.Save = now, true
	}
}

// current ends what a kept list needs: every entry counts as told, the ramp is over.
func (l *List) current(now time.Time) {
	if !l.live && l.began {
		l.log("discovery is back: its word on %d boxes replaces the kept list", len(l.order))
	}
	l.live, l.mourned = true, false
	l.gate.stop()
	for _, e := range l.order {
		if e.State == balancer.Active && !e.drainAt.IsZero() && now.Sub(e.drainAt) < ownWord {
			continue
		}
		e.proof, e.belief, e.at, e.unknown, e.wait = Reported, 1, now, false, 0
		if e.State == balancer.Draining {
			e.proof = Draining
		}
	}
	if len(l.order) == 0 && !l.began { // an empty list is one, too
		l.out.Publish = append(l.out.Publish, Publication{Kind: balancer.EndpointsSnapshot})
	}
	l.publish()
	l.began = true
}

// WatchLost takes the end of the connection to discovery. The list stays, and ages.
func (l *List) WatchLost(now time.Time) {
	if !l.live {
		return
	}
	l.live = false
	for _, e := range l.order {
		if e.proof == Reported {
			e.proof, e.belief, e.at = Verified, 1, l.confirmed
		}
		e.probeAt = time.Time{}
	}
}

// ResetWatch forgets the numbering of a discovery that started over. The list stays until it is told anew in full.
func (l *List) ResetWatch(now time.Time) {
	l.log("discovery started over: its list is read in full")
	l.WatchLost(now)
	l.epoch, l.cursor, l.out.Save = "", 0, true
}

// What boxes prove.

// Observe takes what an attempt or order showed of a box.
func (l *List) Observe(now time.Time, id balancer.WorkerID, s Observation) {
	e := l.boxes[id]
	if e == nil {
		return
	}
	switch s {
	case Answered, Slow:
		if e.ansAt.IsZero() {
			e.ansAt, e.since = now, now
		}
		e.answers = e.answers*decay(now.Sub(e.ansAt), paceSpan) + 1
		e.ansAt = now
	}
	if l.live || l.cfg.Fresh {
		if s == Answered || s == Slow {
			e.VerifiedAt = now
		}
		return
	}
	l.sign(now, e, s, false)
	l.publishOne(e)
}

// Probed takes the end of a probe.
func (l *List) Probed(now time.Time, id balancer.WorkerID, s Observation) {
	e := l.boxes[id]
	if e == nil {
		return
	}
	e.asked = true
	if e.probing {
		e.probing = false
		l.probing--
	}
	if l.live && s != Drains {
		switch {
		case e.proof != Draining || e.State != balancer.Active:
		case s == Answered || s == Slow: // it takes work again
			e.proof, e.drainAt = Reported, time.Time{}
			l.publish()
		default: // that it drains still stands
			e.probeAt = now.Add(ownWord)
		}
		return
	}
	l.sign(now, e, s, true)
	l.publishOne(e)
}

func (l *List) sign(now time.Time, e *entry, s Observation, probe bool) {
	switch s {
	case Answered, Slow, Broken:
		if s == Broken && e.proof == Unverified {
			l.doubt(now, e, silentThough)
			return
		}
		if e.proof == Draining || e.proof == Excluded {
			if s == Broken || !probe || e.State == balancer.Draining && e.drainAt.IsZero() {
				return // discovery said that it drains, or the answer is to what was sent before
			}
			// Somebody new, it may be: what was there before is void.
			e.drainAt, e.State, e.proofs = time.Time{}, balancer.Active, 0
			e.Start = now
		}
		if s != Broken {
			e.VerifiedAt = now
			e.proof, e.belief, e.at, e.unknown, e.wait = Verified, 1, now, false, 0
		}
		switch s {
		case Answered:
			l.gate.proof(now, e)
		case Slow:
			l.gate.setback(now, e)
		}
		if l.gate.on && e.proofs < rampProofs && e.probeAt.IsZero() { // calls may prove it sooner
			round := l.round(e)
			e.probeAt = now.Add(round + time.Duration(l.rng.Float64()*float64(round)/4))
		}
	case Busy: // full, or it drains: its own word is asked for
		l.gate.setback(now, e)
		if !e.probing && e.proof != Draining {
			e.probeAt = later(now, e.askAt.Add(busyAgain))
		}
	case Drains:
		if e.proof != Draining {
			l.log("box %d says that it drains, before discovery does", e.ID)
			l.out.Save, l.out.Urgent = true, true
		}
		e.proof, e.drainAt, e.at, e.belief, e.unknown = Draining, now, now, 1, false
		e.probeAt = now.Add(ownWord)
	case Refused:
		l.doubt(now, e, refusedThough)
	case Silent:
		l.doubt(now, e, silentThough)
	}
}

// NextDeadline is when Tick wants to be called at the latest; zero: no need.
func (l *List) NextDeadline() (at time.Time) {
	for _, e := range l.order {
		if t, due := l.dueAt(e); due && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	return at
}

// dueAt tells when a box is to be probed, if at all.
func (l *List) dueAt(e *entry) (time.Time, bool) {
	if e.probing || l.cfg.Fresh {
		return time.Time{}, false
	}
	if l.live {
		return e.probeAt, e.proof == Draining && e.State == balancer.Active
	}
	if e.State == balancer.Draining && e.drainAt.IsZero() {
		return time.Time{}, false // discovery's word on a drain needs no proof
	}
	if e.probeAt.IsZero() { // in use: asked again when trust has run down
		return l.restlessAt(e), true
	}
	return e.probeAt, true
}

// restlessAt is when the trust in a box in use will have fallen to restless, by the inverse of Survival.
func (l *List) restlessAt(e *entry) time.Time {
	h := &l.history
	age := float64(priorWatched+h.Watched) * (math.Pow(restless, -1/(priorLeaves+h.Leaves)) - 1)
	return e.at.Add(max(time.Duration(age), time.Second))
}

// Tick has probes sent that are due, in order of their time, a bounded number at a time.
func (l *List) Tick(now time.Time) {
	var due []*entry
	for _, e := range l.order {
		if t, is := l.dueAt(e); is && !t.After(now) {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *entry) int { return a.probeAt.Compare(b.probeAt) })
	for _, e := range due[:min(len(due), max(0, probesOut-l.probing))] {
		e.probing, e.askAt = true, now
		e.probeAt = time.Time{}
		l.probing++
		l.out.Probe = append(l.out.Probe, e.Endpoint)
	}
	l.mourn(now)
}

// mourn says once that no kept box is left.
func (l *List) mourn(now time.Time) {
	if l.live || l.mourned || len(l.order) == 0 || l.cfg.Fresh {
		return
	}
	refused := 0
	for _, e := range l.order {
		switch e.proof {
		case Excluded:
			refused++
		case Draining:
		default:
			return
		}
	}
	l.mourned = true
	l.log("no kept box is left: %d do not answer, %d drain; waiting for discovery", refused, len(l.order)-refused)
}

// usable tells whether the module may be given a box. A box that never answered in this life gets probes alone: a
// booking sent to a silent address would be lost.
func (l *List) usable(e *entry) bool {
	switch e.proof {
	case Reported, Verified:
		return true
	case Suspect:
		return e.listed
	case Draining:
		return e.listed || l.live
	}
	return false
}

// publish tells the module what has changed in its view of the list, publishOne of one box.
func (l *List) publish() {
	for _, e := range l.order {
		l.publishOne(e)
	}
}

func (l *List) publishOne(e *entry) {
	if !l.usable(e) {
		if e.listed {
			off := e.shown
			off.State = balancer.Removed
			l.put(off)
			e.listed = false
		}
		return
	}
	b := e.Endpoint
	if e.proof == Draining {
		b.State = balancer.Draining
	}
	b.Weight *= l.gate.weight(e)
	if s := e.shown; !e.listed || s.Addr != b.Addr || s.State != b.State || s.Weight != b.Weight || !s.Start.Equal(b.Start) ||
		s.Zone != b.Zone || s.Kind != b.Kind || s.Cell != b.Cell {
		l.put(b)
		e.listed, e.shown = true, b
	}
}

// show puts an entry's state out at once, as where it has gone.
func (l *List) show(e *entry) {
	l.put(e.Endpoint)
	e.listed = false
}

// put adds a box to the change that is being made. The first list of all is a whole one.
func (l *List) put(b Endpoint) {
	if n := len(l.out.Publish); n > 0 {
		p := &l.out.Publish[n-1]
		for i := range p.Endpoints {
			if p.Endpoints[i].ID == b.ID {
				p.Endpoints[i] = b
				return
			}
		}
		p.Endpoints = append(p.Endpoints, b)
		return
	}
	kind := balancer.EndpointsDelta
	if !l.began {
		kind = balancer.EndpointsCached
		if l.live {
			kind = balancer.EndpointsSnapshot
		}
	}
	l.out.Publish = append(l.out.Publish, Publication{Kind: kind, Endpoints: []Endpoint{b}})
	l.began = true
}

// TakeSnapshot is the list as it is to be written.
func (l *List) TakeSnapshot(now time.Time) Snapshot {
	k := Snapshot{Epoch: l.epoch, Cursor: l.cursor, Confirmed: l.confirmed, Saved: now, History: l.history}
	k.History.Events = slices.Clone(l.history.Events)
	for _, e := range l.order {
		b := e.Endpoint
		b.RequestRate = max(e.pace(now), e.base)
		if l.live && now.Sub(l.gate.ended) > paceSpan {
			b.RequestRate = e.pace(now)
		}
		if e.proof == Draining {
			b.State = balancer.Draining
		}
		k.Endpoints = append(k.Endpoints, b)
	}
	return k
}

func (e *entry) pace(now time.Time) float64 {
	if e.ansAt.IsZero() {
		return 0
	}
	seen := max(1-decay(now.Sub(e.since), paceSpan), 0.05) // less than the span has been seen of a young one
	return e.answers * decay(now.Sub(e.ansAt), paceSpan) / (paceSpan.Seconds() * seen)
}

// Row is one line of a report on the list.
type Row struct {
	Endpoint
	Trust float64
	Proof Verification
	Age   time.Duration // of the last evidence; below 0: unknown
}

// Rows reports on all boxes, by id.
func (l *List) Rows(now time.Time) []Row {
	rows := make([]Row, 0, len(l.order))
	for _, e := range l.order {
		r := Row{Endpoint: e.Endpoint, Trust: l.trust(now, e), Proof: e.proof, Age: -1}
		if !e.unknown && !e.at.IsZero() {
			r.Age = now.Sub(e.at)
		}
		rows = append(rows, r)
	}
	return rows
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
