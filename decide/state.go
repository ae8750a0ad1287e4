package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"oakthread/commons"
	"oakthread/ring"
	"oakthread/turns"
	"oakthread/verdict"
)

const (
	walked     = 256 // executors up to which a list is looked through whole for a choice
	heardAims  = 2   // shortest aims for which a worker that answered counts as heard, where one asks whether the fault is its own
	forgetTaus = 20  // tau: the time constant with which a dispatcher that is not heard is forgotten
)

// State of the Dispatcher, its events' bookkeeping and plain helpers. Nothing here decides.

// Dispatcher decides for one front end. Use New. Its methods must be called from one goroutine, with a clock
// that does not go back; what concerns a request, worker or attempt it does not know is ignored.
type Dispatcher struct {
	set            Settings
	host           Host
	rng            *rand.Rand
	now            int64
	minAim         int64
	judge          *verdict.Judge
	safe           bool // some class is safe to repeat: such calls make the trials
	reqs           map[string]*request
	workers        map[WorkerID]*worker
	tags           map[uint16]*worker
	list           []*worker // listed and on or draining, in order of arrival
	on             []*worker // of these, those that are on, as the ring has them
	funcs          map[uint32]*function
	stats          []stat // by class: answers of loaded copies
	loads          stat   // load times beyond the call itself
	stress         float64
	served         float64 // calls answered lately, decaying over two aims
	servedAt, born int64
	misses         float64 // share of the last answers that began a load
	over           float64 // of the last calls, the work beyond the tenants' shares
	tenants        []tenant
	asked          []float64 // by class, share of the last calls
	heap           wakeups
	armed          int64
	bell           int64 // number of the armed timer
	beatAt         int64
	busyAt         int64
	hedges         float64
	answers        float64 // calls that warm workers answered lately, decaying over tau
	answersAt      int64
	arrived        []int64 // arrivals and orders within LoadWindow, where loads are rationed
	ordered        []int64
	watching       bool
	askAt          int64
	greeted        int   // dispatchers asked for their beliefs
	words, pool    purse // earned by calls for reports and, at the hub, for digests
	calls          int   // calls taken since the last report
	news           []*holder
	others         float64   // requests of other dispatchers seen at a worker, on the mean
	near           []*worker // those that the choice at hand looks at, in a long list
	can            []*worker // of these, those that can take the call
	turn           int       // number of that choice
	ring           ring.Ring[*worker]
	used           []*worker // with calls of ours out, or that failed just now
	touched        []*worker // what active looks at, in a long list
	holders        []*worker // what holding looks at
	hs             []*holder // scratch of held
	young          []*worker // listed ones that are cold, or were
	warm           int       // listed workers that are not cold
	sweptAt        int64
	stoodAt        int64          // when we last found that we had stood still
	lost           float64        // share of answers that never come, from workers that answer others
	shared         *commons.Table // what each has of the figures below, and their sums
	view           commons.View   // as of the last round
	reports        reports        // what the others told us as the hub
	counted        int            // counts in the last report gathered
	roll           *turns.Roll    // who is there, and whose turn it is
	sorted         []float64      // scratch for a middle
	digestAt       int64
	wholeAt        int64 // when the last whole digest came in a long list
	logAt          int64
	logLeft        float64
}

type stat struct{ mean, dev float64 }

func (s *stat) add(x, w float64) {
	s.dev += w * (math.Abs(x-s.mean) - s.dev)
	s.mean += w * (x - s.mean)
}

// request is one call in hand.
type request struct {
	Request
	class   *Class
	fn      *function
	tries   []*attempt
	first   [2]*attempt // the room that tries begins with
	arrived int64
	wake    int64
	stream  bool
	done    bool
	began   bool // it had a load ordered
}

// attempt is one send. ran: it may have run (true until an outcome proves otherwise).
type attempt struct {
	req         *request
	w           *worker
	h           *holder
	sent, due   int64
	zone, cell  int
	n           int
	open, ran   bool
	trial, warm bool // warm: the copy was believed loaded
	excused     bool // nothing was seen of its worker: its connection was cut, or, at one of many dispatchers, a full queue turned it away
}

// worker's fields that each choice reads stand first: a candidate of a long list is in no cache.
type worker struct {
	Entry
	looked     int     // the last choice that looked at it, and whether it was well then
	turn       int     // the last choice that it may have
	now        float64 // load in that
	well       bool
	listed     bool
	heard      bool       // an answer has come since it was listed or restarted
	open       []*attempt // in order of sending
	ghosts     []ghost    // failed attempts stay in the load for a while
	lastAnswer int64
	silentAt   int64   // a digest told that it answers nobody
	others     float64 // requests of other dispatchers, by reports
	othersAt   int64
	pace       float64 // its time for a call at a loaded copy, in the mean of all; 1 at the least
	paceAt     int64
	told       float64 // the same as others tell it: it weighs, and is never told on
	toldAt     int64
	health     verdict.Box

	coldSlot  int64 // the draw of the cold budget in force, and what is left of it
	coldLeft  int
	inList    bool  // it is in Dispatcher.list
	used      bool  // it is in Dispatcher.used
	holder    bool  // it is in Dispatcher.holders
	young     bool  // it is in Dispatcher.young
	touchedAt int64 // when a call, an answer or a message last concerned it; 0: not in Dispatcher.touched
	holds     []*holder
	tally     tally // of what the others told of it
}

// purse is what may be spent on messages, and what the last one cost, sent or not; as prices, parts of a call's worth.
type purse struct{ left, last float64 }

func (p *purse) earn(x float64) { p.left = min(p.left+x, purseMax) }

type ghost struct {
	until int64
	full  bool
}

// tenant counts a tenant's calls lately, decaying over tau.
type tenant struct {
	calls float64
	at    int64
}

// The figures that dispatchers share: calls a second by tenant, then answers a second and calls in a queue.
const served, waiting, keptMost = 0, 1, 13

// kept is how many tenants' figures are shared: a report holds no more.
func (d *Dispatcher) kept() int { return min(len(d.tenants), keptMost) }

// figures is our own row.
func (d *Dispatcher) figures(now int64) []float64 {
	row := make([]float64, 0, keptMost+2)
	for i := range d.kept() {
		t := &d.tenants[i]
		row = append(row, t.calls*math.Exp(-float64(now-t.at)/d.tau())/d.tau()*1e9)
	}
	return append(row, d.servedNow(now)*1e9, d.queued(now))
}

// sum is what those that a digest covers have together of answers a second, or of calls in a queue; 0: nothing yet. The
// others are left out: a queue passes sooner than they are forgotten.
func (d *Dispatcher) sum(what int) float64 {
	if i := d.kept() + what; i < len(d.view.Covered) {
		return d.view.Covered[i]
	}
	return 0
}

// function is the row of the holder table for one function.
type function struct {
	id      FuncID
	lanes   int
	load    int64
	last    int64
	calls   float64 // ours lately, decaying over the keep-alive
	callsAt int64
	holders []*holder
	served  bool       // a worker knows it
	held    []*request // calls that wait here for a load
}

// holder is a worker believed to hold copies of a function, or about to (our own request or order loads it).
type holder struct {
	fn        *function
	w         *worker
	until     int64 // the belief lapses; 0: not (yet) a holder
	inflight  int
	copies    int
	orderedAt int64
	ordered   bool  // an order is under way
	sure      bool  // an answer of its own told us so; else a peer did
	hitAt     int64 // when a call last found a copy loaded
	noOrder   int64 // an order has failed: none before this time
	told      int64
}

type wakeup struct {
	at int64
	r  *request // nil: housekeeping
}

// wakeups is a heap by time, as container/heap keeps one, without a box for each entry.
type wakeups []wakeup

func (h *wakeups) push(x wakeup) {
	*h = append(*h, x)
	for i := len(*h) - 1; i > 0; {
		up := (i - 1) / 2
		if (*h)[i].at >= (*h)[up].at {
			return
		}
		(*h)[i], (*h)[up] = (*h)[up], (*h)[i]
		i = up
	}
}

func (h *wakeups) pop() wakeup {
	ws := *h
	n := len(ws) - 1
	ws[0], ws[n] = ws[n], ws[0]
	for i := 0; ; {
		down := 2*i + 1
		if down >= n {
			break
		}
		if right := down + 1; right < n && ws[right].at < ws[down].at {
			down = right
		}
		if ws[down].at >= ws[i].at {
			break
		}
		ws[i], ws[down] = ws[down], ws[i]
		i = down
	}
	x := ws[n]
	ws[n] = wakeup{}
	*h = ws[:n]
	return x
}

// out is the last attempt that is still out; nil: none.
func (r *request) out() (last *attempt) {
	for _, a := range r.tries {
		if a.open {
			last = a
		}
	}
	return last
}

// tried tells whether w had its chance: an attempt that ended there, or two that are excused.
func (r *request) tried(w *worker) bool {
	excused := 0
	for _, a := range r.tries {
		if a.w == w && a.excused {
			excused++
		}
		if a.w == w && !a.excused || excused > 1 {
			return true
		}
	}
	return false
}

func (f *function) at(w *worker, add bool) *holder {
	for _, h := range f.holders {
		if h.w == w {
			return h
		}
	}
	if !add {
		return nil
	}
	h := &holder{fn: f, w: w, copies: 1}
	f.holders = append(f.holders, h)
	w.holds = append(w.holds, h)
	return h
}

// stands tells whether w is known, by an answer of its own, to hold a copy; w may be nil.
func (f *function) stands(now int64, w *worker) bool {
	h := f.at(w, false)
	return h != nil && h.until > now && h.sure
}

// expected tells whether a copy is believed to stand, or about to, at another holder than h; nil: at any.
func (f *function) expected(now int64, h *holder) bool {
	return slices.ContainsFunc(f.holders, func(x *holder) bool { return x != h && x.expected(now) })
}

// expected tells whether a copy is believed to stand there, or about to.
func (h *holder) expected(now int64) bool { return h.until > now || h.inflight > 0 || h.ordered }

// note has the others told of a holder with the next message.
func (d *Dispatcher) note(now int64, h *holder) {
	if d.set.Peers {
		h.told = now
		d.news = append(d.news, h)
	}
}

// announce has the others told of a new holder at once; where the list is long, only once what the last message cost is saved up:
// it may be too dear for each call.
func (d *Dispatcher) announce(now int64, h *holder) {
	d.note(now, h)
	if len(d.list) <= d.set.Walk || d.words.left >= d.words.last {
		d.tell(now)
	}
}

// holding lists the workers that may be believed to hold copies: of a short list all.
func (d *Dispatcher) holding() []*worker {
	if len(d.list) <= d.set.Walk {
		return d.list
	}
	d.holders = slices.DeleteFunc(d.holders, func(w *worker) bool { w.holder = w.listed && len(w.holds) > 0; return !w.holder })
	return d.holders
}

// touch takes that a call, an answer or a message concerns w, where it is listed.
func (d *Dispatcher) touch(now int64, w *worker) {
	if !w.listed {
		return
	}
	if w.touchedAt == 0 {
		d.touched = append(d.touched, w)
	}
	w.touchedAt = max(now, 1)
	d.holds(w)
}

// holds takes that w may come to be believed to hold copies.
func (d *Dispatcher) holds(w *worker) {
	if !w.holder {
		w.holder, d.holders = true, append(d.holders, w)
	}
}

// use takes that a call of ours is out at w, or has just ended there.
func (d *Dispatcher) use(now int64, w *worker) {
	d.touch(now, w)
	if !w.used {
		w.used, d.used = true, append(d.used, w)
	}
}

// inUse lists the workers, listed or not, with calls of ours out or failed calls that count as out.
func (d *Dispatcher) inUse(now int64) []*worker {
	d.used = slices.DeleteFunc(d.used, func(w *worker) bool {
		w.used = len(w.open) > 0 || slices.ContainsFunc(w.ghosts, func(g ghost) bool { return g.until > now })
		return !w.used
	})
	return d.used
}

// active lists the workers of which there may be something to tell: of a short list all; of a long one those touched lately
// or out, so that a round costs what was done and not what is listed.
func (d *Dispatcher) active() []*worker {
	if len(d.list) <= d.set.Walk {
		return d.list
	}
	return d.touched
}

// isActive tells whether active lists w.
func (d *Dispatcher) isActive(w *worker) bool {
	if len(d.list) <= d.set.Walk {
		return w.inList
	}
	return w.touchedAt != 0
}

// settle leaves out of touched what is not listed, and what there has been nothing to tell of for some time.
func (d *Dispatcher) settle(now int64) {
	d.touched = slices.DeleteFunc(d.touched, func(w *worker) bool {
		_, says := d.judge.Mark(now, &w.health, d.slow(now, w))
		if w.listed && (now-w.touchedAt < heardAims*d.minAim || len(w.open) > 0 || d.out(w) || says) {
			return false
		}
		if w.touchedAt = 0; len(d.list) > d.set.Walk { // all of it is too old to count
			w.tally = tally{void: d.reports.texts}
		}
		return true
	})
}

// draw appends workers drawn from those that are on, some perhaps twice: in a release a third of a list may be draining.
func (d *Dispatcher) draw(ws []*worker) []*worker {
	for range min(drawn, len(d.on)) {
		ws = append(ws, d.on[d.rng.IntN(len(d.on))])
	}
	return ws
}

// some are workers that stand for all: of a short list all, of a long one some drawn; good until the next choice.
func (d *Dispatcher) some() []*worker {
	if len(d.list) <= d.set.Walk {
		return d.list
	}
	d.near = d.draw(d.near[:0])
	return d.near
}

func since(ts []int64, from int64) []int64 {
	for len(ts) > 0 && ts[0] < from {
		ts = ts[1:]
	}
	return ts
}

func (d *Dispatcher) push(at int64, r *request) { d.heap.push(wakeup{at, r}) }

// uniform is the rank of a worker for a function, between 0 and 1, the same at every dispatcher.
func uniform(f FuncID, w WorkerID) float64 {
	return (float64(mix(uint64(f)^uint64(w)*0x9e3779b97f4a7c15)>>11) + 0.5) / (1 << 53)
}

// affinity makes of such a rank one in which the larger a worker is, the more functions rank it first (weighted rendezvous
// hashing).
func affinity(u, weight float64) float64 { return max(weight, 1e-9) / -math.Log(u) }

// fading is what is left of x after some time, with a time constant of tau. Most are 0, and the exponential is dear.
func fading(x float64, age int64, tau float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Exp(-float64(age)/tau)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// tag and funcTag are short names in messages; two workers of one tag share what is told of it.
func tag(w WorkerID) uint16 { return uint16(w ^ w>>16) }

func funcTag(f FuncID) uint32 { return uint32(f ^ f>>32) }

func (w *worker) take(id string, n int) *attempt {
	for i, a := range w.open {
		if a.req.ID == id && a.n == n {
			w.open = append(w.open[:i], w.open[i+1:]...)
			return a
		}
	}
	return nil
}

// held lists the functions that w is believed to hold, for less than so long, by id, so that nothing depends on map order. It is good
// until the next one.
func (d *Dispatcher) held(now int64, w *worker, long int64) []*holder {
	hs := d.hs[:0]
	for _, h := range w.holds {
		if h.until > now && h.until-now < long {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, func(a, b *holder) int {
		if a.fn.id < b.fn.id {
			return -1
		}
		return 1
	})
	d.hs = hs
	return hs
}

func (d *Dispatcher) wakeAt(r *request, at int64) {
	r.wake = at
	if at < r.end(d) {
		d.push(at, r)
	}
}

func (d *Dispatcher) arm() {
	if len(d.heap) > 0 && max(d.heap[0].at, d.now) < d.armed {
		d.armed = max(d.heap[0].at, d.now)
		d.bell++
		d.host.Timer(max(d.armed-d.now, 1), d.bell)
	}
}

func (d *Dispatcher) tick(now int64) {
	d.now = max(d.now, now)
	d.awake(d.now)
	if d.beatAt == 0 {
		d.beatAt = d.now + d.minAim/beats
		d.settle(d.now)
		d.push(d.beatAt, nil)
	}
}

// log writes a line, of a burst at most logBurst, and one more in each shortest aim.
func (d *Dispatcher) log(now int64, format string, args ...any) {
	d.logLeft = min(d.logLeft+float64(now-d.logAt)/float64(d.minAim), logBurst)
	d.logAt = now
	if d.logLeft >= 1 {
		d.logLeft--
		d.host.Log(fmt.Sprintf(format, args...))
	}
}

const logBurst = 32

// sweep drops what is no longer believed, listed or in flight, so that memory stays bounded.
func (d *Dispatcher) sweep(now int64) {
	for id, f := range d.funcs {
		keep := f.holders[:0]
		for _, h := range f.holders {
			if h.inflight > 0 || h.until > now || now-h.orderedAt < d.set.OrderTimeout && h.orderedAt > 0 {
				keep = append(keep, h)
			} else {
				h.w.holds = slices.DeleteFunc(h.w.holds, func(x *holder) bool { return x == h })
			}
		}
		f.holders = keep
		if len(keep) == 0 && now-f.last > d.set.KeepAlive+int64(d.tau()) {
			delete(d.funcs, id)
		}
	}
	// Not all news is told where messages are dear or there are no peers.
	d.news = slices.DeleteFunc(d.news, func(h *holder) bool { return h.until <= now && h.inflight == 0 && !h.ordered })
	d.young = slices.DeleteFunc(d.young, func(w *worker) bool { w.young = w.listed && d.isCold(now, w); return !w.young })
	d.warm = len(d.list) - len(d.young)
	d.sweepReports(now)
	for _, w := range d.active() {
		keep := w.ghosts[:0]
		for _, g := range w.ghosts {
			if g.until > now {
				keep = append(keep, g)
			}
		}
		w.ghosts = keep
	}
	for id, w := range d.workers {
		if len(d.workers) == len(d.list) {
			break
		}
		if !w.listed && len(w.open) == 0 {
			delete(d.workers, id)
			if d.tags[tag(id)] == w {
				delete(d.tags, tag(id))
			}
		}
	}
}

func (d *Dispatcher) out(w *worker) bool { return d.judge.Out(&w.health, w.Zone) }

// changed logs what has changed of a worker; an empty text is nothing.
func (d *Dispatcher) changed(now int64, w *worker, text string) {
	if text != "" {
		d.log(now, "worker %d %s", w.Worker, text)
	}
}

func (d *Dispatcher) isCold(now int64, w *worker) bool {
	return w.Start > 0 && now-w.Start < d.set.Cold
}

func (d *Dispatcher) function(now int64, q Request) *function {
	f := d.funcs[funcTag(q.Func)]
	if f == nil {
		f = &function{}
		d.funcs[funcTag(q.Func)] = f
	}
	f.id, f.lanes, f.load, f.last = q.Func, max(1, q.Lanes), q.LoadTime, now
	return f
}

// check rejects settings that have no safe reading.
func (s *Settings) check(host Host) error {
	if host == nil {
		return fmt.Errorf("decide: host is nil")
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("decide: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 {
			return fmt.Errorf("decide: Classes[%d].Aim must be above 0", i)
		}
		if c.Window < 0 || c.GiveUp < 0 || math.IsNaN(c.Worth) {
			return fmt.Errorf("decide: Classes[%d]: Window, GiveUp or Worth cannot be read", i)
		}
	}
	for _, f := range []struct {
		name string
		v    int64
	}{{"KeepAlive", s.KeepAlive}, {"Cold", s.Cold}, {"Fall", s.Fall}, {"DrainGrace", s.DrainGrace},
		{"LoadWindow", s.LoadWindow}} {
		if f.v < 0 {
			return fmt.Errorf("decide: %s is negative", f.name)
		}
	}
	return nil
}

// Probed takes the answer to a probe.
func (d *Dispatcher) Probed(now int64, id WorkerID, res Result, rtt int64, rep []float64) {
	d.tick(now)
	if w := d.workers[id]; w != nil && res == OK {
		d.report(now, w, rep)
	}
	d.arm()
}

// Gone ends a request whose client left.
func (d *Dispatcher) Gone(now int64, id string) {
	d.tick(now)
	if r := d.reqs[id]; r != nil {
		d.forget(now, r)
	}
	d.arm()
}

// Peer takes a message from another dispatcher; false: it cannot be read, or is nobody's, and changes nothing.
func (d *Dispatcher) Peer(now int64, from int, data string) bool {
	d.tick(now)
	defer d.arm()
	m, ok := commons.Read(data, d.set.Siblings)
	if !ok || from < 0 || from >= d.set.Siblings || from == d.set.Number {
		return false
	}
	if m.Hello { // a restarted dispatcher asks: tell it all that we believe
		out := commons.Message{GoesOn: true}
		for _, w := range d.list {
			for _, h := range d.held(now, w, forever) {
				out.Pairs = append(out.Pairs, commons.Pair{Func: funcTag(h.fn.id), Worker: tag(w.Worker)})
			}
		}
		for _, x := range out.Texts(d.set.Siblings) {
			d.host.Tell(from, x)
		}
	}
	for _, p := range m.Pairs {
		d.hear(now, p, !m.Hub && !m.GoesOn)
	}
	if m.Hub {
		d.learnDigest(now, from, m)
		return true
	}
	if !m.GoesOn {
		if !d.shared.Heard(now, from, m.Row) {
			return true // doubled, late, or of before its restart
		}
		d.pool.earn(tellShare * float64(m.Calls))
	}
	d.takeReport(now, from, m)
	return true
}

// hear takes a new holder from a message; the hub passes on what it did not know.
func (d *Dispatcher) hear(now int64, p commons.Pair, pass bool) {
	w := d.tags[p.Worker]
	if w == nil || !w.listed {
		return
	}
	f := d.funcs[p.Func]
	if f == nil {
		f = &function{lanes: 1, last: now, id: FuncID(p.Func)}
		d.funcs[p.Func] = f
	}
	h := f.at(w, true)
	d.holds(w)
	if h.until <= now {
		h.sure = false
		if pass {
			d.news = append(d.news, h)
		}
	}
	h.until = max(h.until, now+d.set.KeepAlive)
}

// learnDigest takes the sums over all dispatchers: what a first part leaves out is idle, but of a short one. Calls at a
// worker are told of those that the sums cover; the others are taken to have as many there, by their answers.
func (d *Dispatcher) learnDigest(now int64, from int, m commons.Message) {
	if !m.GoesOn {
		if !d.shared.Told(now, from, m.Sum) {
			return
		}
		d.view = d.shared.View(now, d.kept()+served)
		if d.many() > 1 { // of few, one digest lost changes who is there more often than death does
			d.roll.Told(now, m.Sum.Covered)
		}
		d.takeWords(now, m.Marks)
		if !m.Sum.Short {
			d.digestAt = now
			if len(d.list) > d.set.Walk {
				d.wholeAt = now
			} else {
				for _, w := range d.list {
					w.others, w.othersAt = 0, now
				}
			}
		}
	}
	for _, c := range m.Counts {
		if w := d.tags[c.Worker]; w != nil && w.listed && m.Sum.Short {
			w.silentAt = now
		} else if w != nil && w.listed {
			w.others, w.othersAt = max(0, float64(c.N)*max(1, d.view.Scale)-float64(len(w.open))), now
			if w.silentAt = 0; c.Silent && !c.Heard {
				w.silentAt = now
			}
		}
	}
	d.sorted = d.sorted[:0]
	for _, w := range d.some() {
		d.freshen(w)
		d.sorted = append(d.sorted, w.others)
	}
	d.others = middle(d.sorted)
}

// freshen has w know that a whole digest has told nothing of it since: it is idle for others. In a long list that is found when it is
// asked for, and not set at all that the digest leaves out.
func (d *Dispatcher) freshen(w *worker) {
	if w.othersAt < d.wholeAt {
		w.others, w.othersAt = 0, d.wholeAt
	}
}

// takeWords takes what a digest tells of workers whose calls fail or take long.
func (d *Dispatcher) takeWords(now int64, marks []commons.Mark) {
	if len(marks) == 0 {
		return
	}
	told, of, all := []verdict.Told(nil), []*worker(nil), 0.0
	for _, w := range d.list {
		all += max(w.Weight, 0.1)
	}
	for _, m := range marks {
		w := d.tags[m.Worker]
		if w == nil || !w.listed {
			continue
		}
		word := verdict.Word(verdict.Mark{Good: m.Good, Bad: m.Bad, Pace: m.Pace})
		d.touch(now, w)
		told, of = append(told, verdict.Told{Box: &w.health, Weight: max(w.Weight, 0.1), Word: word}), append(of, w)
		if word.Pace > 0 {
			w.told, w.toldAt = min(word.Slow(), paceMax), now
		}
	}
	for i, text := range d.judge.Words(now, told, all) {
		d.changed(now, of[i], text)
	}
}

// FirstByte binds a request to a stream: it has no deadline and no further attempts.
func (d *Dispatcher) FirstByte(now int64, id string, n int) {
	d.tick(now)
	if r := d.reqs[id]; r != nil {
		r.stream = true
		if n >= 0 && n < len(r.tries) {
			r.tries[n].w.lastAnswer = now
		}
	}
	d.arm()
}

func (d *Dispatcher) entry(e Entry) {
	w := d.workers[e.Worker]
	if w == nil {
		w = &worker{pace: 1}
		d.workers[e.Worker], d.tags[tag(e.Worker)] = w, w
	} else if e.Start != w.Start && e.Start > 0 {
		d.unbelieve(w)
		w.coldSlot = 0
		w.health.Restarted()
	}
	w.Entry, w.listed = e, e.State != Off
	if w.listed && !w.inList {
		w.inList, d.list = true, append(d.list, w)
		d.touch(d.now, w)
	}
	if e.State != On && d.ring.Remove(uint32(w.Worker)) {
		d.on = slices.DeleteFunc(d.on, func(x *worker) bool { return x == w })
	} else if e.State == On && d.ring.Add(uint32(w.Worker), w) {
		d.on = append(d.on, w)
	}
	if !w.young && d.isCold(d.now, w) {
		w.young, d.young = true, append(d.young, w)
	}
}

// middle is the median, which a few crowded workers do not move; 0 of none.
func middle(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return (xs[len(xs)/2] + xs[(len(xs)-1)/2]) / 2
}

// Loaded takes what came of an order, and lets go the calls that were held for it.
func (d *Dispatcher) Loaded(now int64, id WorkerID, fid FuncID, copies int, res Result) {
	d.tick(now)
	defer d.arm()
	w, f := d.workers[id], d.funcs[funcTag(fid)]
	if w == nil || f == nil {
		return
	}
	d.touch(now, w)
	if res == OK || res == Full || res == Error {
		d.answered(now, w)
	}
	sent := now
	if h := f.at(w, false); h != nil {
		h.ordered, sent = false, h.orderedAt
		if copies > 0 {
			if took := float64(now - h.orderedAt); h.orderedAt > 0 && took > float64(f.load)/2 {
				d.loadTook(f, took)
			}
			d.believe(now, h)
			h.copies = copies
		} else if res != Reset && res != Moot { // cut off or never written tells nothing of room: it is given again
			h.noOrder = now + d.minAim
		}
	}
	if res == ConnectFailed || res == Reset {
		d.cut(now, sent, w, res)
	}
	held := f.held
	f.held = nil
	for _, r := range held {
		if !r.done && len(r.tries) == 0 {
			d.dispatch(now, r)
		}
	}
}

// Timer takes an expired timer.
func (d *Dispatcher) Timer(now int64, ref int64) {
	d.tick(now)
	if ref == d.bell { // by its number, not its time: a host that rounds may ring a little early
		d.armed = forever
	}
	for d.stoodAt < now && len(d.heap) > 0 && d.heap[0].at <= now {
		r := d.heap.pop().r
		switch {
		case r == nil:
			d.beat(now)
		case r.done || r.stream:
		case now >= r.end(d):
			d.finish(now, r)
		case now >= r.wake:
			r.wake = forever
			d.overdue(now, r)
		}
	}
	d.arm()
}

// Roster takes news of the workers.
func (d *Dispatcher) Roster(now int64, kind RosterKind, entries []Entry) {
	d.tick(now)
	if kind == RosterFailed {
		d.watching = false
	} else {
		d.askAt = now
		d.watching = d.watching || kind != RosterCached
	}
	named := map[WorkerID]bool{}
	for _, e := range entries {
		named[e.Worker] = true
		d.entry(e)
	}
	if kind == RosterFull || kind == RosterCached {
		for _, w := range d.list {
			w.listed = w.listed && named[w.Worker]
		}
	}
	keep := d.list[:0]
	for _, w := range d.list {
		if w.listed {
			keep = append(keep, w)
		} else {
			w.inList = false
			d.ring.Remove(uint32(w.Worker))
			d.unbelieve(w)
		}
	}
	d.list = keep
	d.on = slices.DeleteFunc(d.on, func(w *worker) bool { return !w.listed })
	d.settle(now)
	d.ask(now)
	for _, r := range d.heap {
		if r.r != nil && len(r.r.tries) == 0 && !r.r.done {
			r.r.wake = now
		}
	}
	d.arm()
}

// New makes a Dispatcher. It knows no workers until Roster is called.
func New(now int64, s Settings, seed uint64, host Host) (*Dispatcher, error) {
	if err := s.check(host); err != nil {
		return nil, err
	}
	d := &Dispatcher{set: s, host: host, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), now: now,
		minAim: forever, reqs: map[string]*request{}, workers: map[WorkerID]*worker{},
		funcs: map[uint32]*function{}, tags: map[uint16]*worker{}, armed: forever,
		stress: 1, misses: 1, lost: lostPrior, born: now, stoodAt: now - 1, hedges: 1,
		asked: make([]float64, len(s.Classes))}
	for i := range s.Classes {
		c := &s.Classes[i]
		d.minAim = min(d.minAim, c.Aim)
		d.safe = d.safe || c.Effect == Safe
		d.stats = append(d.stats, stat{usualTime * float64(c.Aim), usualTime / 2 * float64(c.Aim)})
	}
	d.set.Siblings = max(1, s.Siblings)
	d.set.MaxAttempts = max(1, s.MaxAttempts)
	d.set.Walk = cmp.Or(s.Walk, walked)
	d.set.Quantum = max(s.Quantum, 1_000_000)
	d.set.OverloadFactor = max(s.OverloadFactor, 0)
	for range s.TenantRate {
		d.tenants = append(d.tenants, tenant{})
	}
	d.judge = verdict.New(d.minAim, d.many() > 1)
	d.roll = turns.New(s.Number, d.set.Siblings, hubAims*d.minAim)
	d.shared = commons.New(now, commons.Settings{Number: s.Number, Siblings: d.set.Siblings, Figures: d.kept() + 2, Passing: 1, Term: hubAims * d.minAim,
		Tick: d.set.Quantum, Forget: forgetTaus * int64(d.tau())})
	d.loads = stat{usualLoad * float64(d.minAim), usualLoad / 2 * float64(d.minAim)}
	return d, nil
}

// gather fills a report with what this dispatcher has and, for a digest, with what others reported lately.
func (d *Dispatcher) gather(now int64, m *commons.Message) {
	if m.Hub {
		m.Sum = d.shared.Sum(now)
		d.tallyReports(now)
	} else {
		m.Row = d.shared.Report()
	}
	heard, silent, all := 0, 0, d.active()
	for _, w := range all {
		if d.out(w) || d.quiet(now, w) {
			silent++
		} else if now-w.lastAnswer < heardAims*d.minAim {
			heard++
		}
	}
	sure := !verdict.Doubts(heard, silent)
	for _, w := range all {
		quiet := d.quiet(now, w)
		c := commons.Count{Worker: tag(w.Worker), N: len(w.open), Silent: sure && (quiet || d.out(w)),
			Heard: now-w.lastAnswer < d.minAim} // a worker is found silent over about as long
		if quiet { // what is stuck on its way is no load there
			c.N = 0
		}
		mark, says := d.judge.Mark(now, &w.health, d.slow(now, w))
		if says = says && sure; m.Hub {
			mark, says = d.pooled(now, w, &c, mark, says)
		}
		if says {
			m.Marks = append(m.Marks, commons.Mark{Worker: tag(w.Worker), Good: mark.Good, Bad: mark.Bad, Pace: mark.Pace})
		}
		if c.N > 0 || c.Silent || c.Heard {
			if m.Counts == nil {
				m.Counts = make([]commons.Count, 0, max(d.counted, 8)) // about as many as last time
			}
			m.Counts = append(m.Counts, c)
		}
	}
	d.counted = len(m.Counts)
	slices.SortStableFunc(m.Marks, func(a, b commons.Mark) int { return int(b.Bad) - int(a.Bad) }) // there is room for a dozen
	most := helloPeers + len(m.Counts)/pairPart
	for _, h := range d.news {
		if len(m.Pairs) < most && (h.until > now || h.inflight > 0) {
			m.Pairs = append(m.Pairs, commons.Pair{Func: funcTag(h.fn.id), Worker: tag(h.w.Worker)})
		}
	}
}

// drag is how much heavier w counts for its pace, by our own calls or by what others tell of theirs, whichever is more.
func (d *Dispatcher) drag(now int64, w *worker) float64 {
	own := fading(w.pace*w.pace-1, now-w.paceAt, float64(d.keep()))
	return max(own, fading(max(0, w.told*w.told-1), now-w.toldAt, d.tau()))
}

// slow is how many times longer calls at w's loaded copies take than at all, fading to 1.
func (d *Dispatcher) slow(now int64, w *worker) float64 {
	return 1 + fading(w.pace-1, now-w.paceAt, float64(d.keep()))
}

// AddClasses takes classes that requests may name from now on and returns the number of the first; requests in hand
// keep the class they came with. All are taken or none: an error, for a class without a positive aim or with figures
// that cannot be read, changes nothing.
func (d *Dispatcher) AddClasses(now int64, cs []Class) (int, error) {
	d.tick(now)
	for i, c := range cs {
		if c.Aim <= 0 || c.Window < 0 || c.GiveUp < 0 || math.IsNaN(c.Worth) {
			return 0, fmt.Errorf("decide: added class %d: Aim must be above 0, and Window, GiveUp and Worth be read", i)
		}
	}
	first := len(d.set.Classes)
	d.set.Classes = append(d.set.Classes, cs...) // a request holds its class by pointer: an old array stays its own
	for _, c := range cs {
		d.minAim = min(d.minAim, c.Aim)
		d.safe = d.safe || c.Effect == Safe
		d.stats = append(d.stats, stat{usualTime * float64(c.Aim), usualTime / 2 * float64(c.Aim)})
		d.asked = append(d.asked, 0)
	}
	d.judge.Pace(d.minAim)
	d.roll.Pace(hubAims * d.minAim)
	d.arm()
	return first, nil
}

// SetMaxAttempts changes how many attempts a request may have, from now on; at least one.
func (d *Dispatcher) SetMaxAttempts(now int64, n int) {
	d.tick(now)
	d.set.MaxAttempts = max(1, n)
	d.arm()
}

// Ejected lists the listed workers that the module avoids by its own choice (ejected, past their failures), in the
// order of the list. It changes nothing.
func (d *Dispatcher) Ejected() []WorkerID {
	var out []WorkerID
	for _, w := range d.list {
		if w.listed && w.State == On && (d.out(w) || d.judge.Cut(w.Zone)) {
			out = append(out, w.Worker)
		}
	}
	return out
}

// Verdict is what is held of one worker, for operators.
type Verdict struct {
	Worker WorkerID
	Zone   int
	Pace   float64 // time of its calls in the mean of all
	Silent bool    // others found it silent, and nobody had an answer
	verdict.State
}

// Verdicts lists what is held of each listed worker, in the order of the list. It changes nothing that is decided.
func (d *Dispatcher) Verdicts(now int64) (out []Verdict) {
	for _, w := range d.list {
		pace := d.slow(now, w)
		v := Verdict{w.Worker, w.Zone, pace, d.told(now, w) && !d.judge.ByWords(now, &w.health), d.judge.State(now, &w.health, w.Zone, pace)}
		if v.Silent && v.State.Verdict == "well" {
			v.State.Verdict, v.Evidence = "left out", "several found it silent, and nobody had an answer"
		}
		out = append(out, v)
	}
	return out
}

// Shared is what is known of the sums over all dispatchers, as of the last round; it changes nothing.
func (d *Dispatcher) Shared() commons.View { return d.view }
