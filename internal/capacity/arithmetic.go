package capacity

import (
	"math"
)

// sizes are constants of other packages; TestSizesAreThoseOfTheSources reads them again.
type sizes struct {
	// aggregate/encode.go, internal/platform/watch.go, core.go
	textMax, marksMax, datagram, waiting, line, eventsWait float64
	// package balancer
	messageShare, messagePriceFloor, budgetMax, leaderTerm, maintenanceRounds, hello, pairPart float64
	// s: internal/platform/watch.go
	quiet, dial, most float64
	// internal/platform/executorpool.go, internal/daemon/daemon.go
	idleShare, reserved, clientSpare, memoryPart, datagramsInAReceive float64
	// per cent: internal/daemon/daemon.go
	collectAt float64
	// shortest latency objectives, of package outlier
	longest float64
}

// ofProgram returns the values of the constants as they stand in the sources.
func ofProgram() sizes {
	return sizes{
		textMax: 190, marksMax: 12, datagram: 256, waiting: 256, line: 4 << 20, eventsWait: 1024,
		messageShare: 0.005, messagePriceFloor: 0.002, budgetMax: 10, leaderTerm: 2, maintenanceRounds: 8, hello: 3,
		pairPart: 8,
		quiet:    2, dial: 1, most: 0.4, idleShare: 0.6, reserved: 20, clientSpare: 16, memoryPart: 0.7, longest: 8,
		collectAt:           150,
		datagramsInAReceive: 277,
	} // of 768 bytes each, as the kernel counts a small one, in its usual 212,992: not measured
}

// Packed is how long a message of dispatchers is, in characters of base64 as they are sent.
type Packed struct{ First, All, Texts int }

// Digest is the shape of a collector's message, as aggregate.Message.Texts writes it.
type Digest struct {
	Dispatchers, Figures int
	Partial              bool // some dispatcher's row is not in the sums: a bit for each dispatcher follows
	Missing              bool // one is remembered: two more sums, and again a bit for each
	Marks, Counts, Pairs int
}

// Length is how long a digest is.
func (d Digest) Length() Packed {
	head, set := 3+2+2*d.Figures, (d.Dispatchers+7)/8
	if d.Partial {
		head += set
	}
	if d.Missing {
		head += 4*d.Figures + set
	}
	return packed(head, d.Marks, d.Counts, d.Pairs)
}

// Report is the shape of a dispatcher's message to the collector. Quoted is the number of figures
// repeated from the last digest; below 0: none, and no list of them.
type Report struct{ Figures, Quoted, Marks, Counts, Pairs int }

// Length is how long a report is.
func (r Report) Length() Packed {
	head := 3 + 3 + 2*r.Figures
	if r.Quoted >= 0 {
		head += (r.Figures+7)/8 + 2*r.Quoted
	}
	return packed(head, r.Marks, r.Counts, r.Pairs)
}

// packed follows aggregate.Message.Texts: a part has textMax bytes at the most, save that the head is never cut.
func packed(head, marks, counts, pairs int) (p Packed) {
	of := ofProgram()
	most := int(of.textMax)
	for raw := head; p.Texts == 0 || counts+pairs > 0; raw = 3 {
		if p.Texts == 0 {
			if k := max(0, min(marks, int(of.marksMax), (most-raw-1)/4)); k > 0 {
				raw += 1 + 4*k
			}
		}
		room := max(0, most-raw)
		n := min(counts, room/3, 255)
		k := min(pairs, (room-3*n)/6)
		raw += 3*n + 6*k
		counts, pairs = counts-n, pairs-k
		chars := (8*raw + 5) / 6
		if p.Texts == 0 {
			p.First = chars
		}
		p.Texts++
		p.All += chars
	}
	return p
}

// Stops returns the greatest number of dispatchers up to which a collector with a full message
// budget can pay for a digest to all. length returns its characters at a number of dispatchers. The
// result is at most most.
func Stops(price float64, most int, length func(dispatchers int) int) int {
	for n := 2; n <= most; n++ {
		if digestPrice(price, float64(n), float64(length(n))) > ofProgram().budgetMax {
			return n - 1
		}
	}
	return most
}

// digestPrice returns the price of characters sent to all other dispatchers, relative to the result
// of one call.
func digestPrice(price, dispatchers, chars float64) float64 {
	return max(price, ofProgram().messagePriceFloor) * (dispatchers - 1) / 256 * chars
}

// Fits returns the greatest number of dispatchers at which the first text of such a digest is
// within the datagram's limit.
func Fits(d Digest, most int) int {
	for n := 1; n <= most; n++ {
		if d.Dispatchers = n; d.Length().First > int(ofProgram().datagram) {
			return n - 1
		}
	}
	return most
}

// Collisions is how many pairs of n names share a tag of so many bits, expected.
func Collisions(n float64, bits int) float64 { return n * (n - 1) / 2 / math.Exp2(float64(bits)) }

// Distinct is how many of so many are met by draws that fall evenly, expected.
func Distinct(draws, of float64) float64 { return of * -math.Expm1(-draws/of) }

// RareLoads is what calls of a function that is called rate times a second at random cost where all
// dispatchers agree on its place: the part of them that finds no copy, and the copies that stand or
// load on the mean. Times in s.
func RareLoads(rate, keep, load float64) (missing, copies float64) {
	missing = math.Exp(-rate * keep)
	return missing, rate*missing*load - math.Expm1(-rate*keep)
}

// Waits is the chance that a load waits at an executor with so many slots of which busy are taken
// on the mean (Erlang's C formula; slots may be a fraction, and are rounded down); 1 where busy is
// as much as the slots.
func Waits(busy, slots float64) float64 {
	n := math.Floor(slots)
	if busy >= n {
		return 1
	}
	b := 1.0 // Erlang B by its recursion
	for k := 1.0; k <= n; k++ {
		b = busy * b / (k + busy*b)
	}
	return b / (1 - busy/n*(1-b))
}

// reportShape returns the mean report of a dispatcher with so many calls per second: it has the
// executors where one of its calls was answered within the shortest latency objective, and new
// holders up to the module's limit.
func (c Case) reportShape(calls float64) Report {
	of := ofProgram()
	counts := math.Round(Distinct(calls*c.LatencyObjective, c.Listed()))
	pairs := min(of.hello+math.Floor(counts/of.pairPart), math.Round(calls*c.LatencyObjective/of.maintenanceRounds))
	return Report{Figures: int(c.Figures), Quoted: -1, Counts: int(counts), Pairs: int(pairs)}
}

// reports returns how many reports per second a dispatcher sends, and their characters: one in each
// maintenance round and one with each call to a holder not believed before (functions drawn
// evenly), as far as its calls pay for them.
func (c Case) reports(calls float64) (rate float64, p Packed) {
	of := ofProgram()
	p = c.reportShape(calls).Length()
	unbelieved := math.Exp(-calls * c.KeepAlive / c.Functions)
	return min(of.maintenanceRounds/c.LatencyObjective+calls*unbelieved,
		of.messageShare*calls/(max(c.PeerPrice, of.messagePriceFloor)/256*float64(p.All))), p
}

// fullDigest has the calls in flight or answers of every listed executor that some dispatcher met
// within the shortest latency objective.
func (c Case) fullDigest(missing bool) Digest {
	counts := Distinct(c.Calls*c.ListPart*c.LatencyObjective, c.Listed())
	return Digest{
		Dispatchers: int(c.Dispatchers), Figures: int(c.Figures), Partial: missing, Missing: missing,
		Counts: int(math.Round(counts)),
	}
}

// sums is a digest without counts, as a short one is.
func (c Case) sums(missing bool) Digest {
	return Digest{Dispatchers: int(c.Dispatchers), Figures: int(c.Figures), Partial: missing, Missing: missing}
}

// silent is a digest without counts that lacks the row of one who was in none before: it had no
// calls, so it reported nothing.
func (c Case) silent() Digest {
	d := c.sums(false)
	d.Partial = true
	return d
}

// term is for how long one dispatcher collects, s.
func (c Case) term() float64 { return ofProgram().leaderTerm * c.LatencyObjective }

// connections is how many of so many peers a side has a connection to, whose calls fall on them
// evenly, rate a second in all.
func (c Case) connections(rate, peers float64) float64 {
	return Distinct(rate*ofProgram().idleShare*c.ConnIdle, peers)
}

// rare is how many functions are called less than once a minute.
func (c Case) rare() float64 { return c.Rare * c.Functions }
