package capacity

import (
	"math"
)

// programConstants holds the constants of other packages on which the rows depend, under their
// names there. TestConstantsMatchTheSources compares them with the sources.
type programConstants struct {
	// aggregate/encode.go, internal/platform/peertransport.go and watch.go, config.go
	maxTextBytes, maxMarks, maxDatagramBytes, sendQueueLength, maxEventBytes, eventQueueSize float64
	// package balancer
	gossipCostShare, minMessagePrice, maxGossipBudget, leaderTermObjectives,
	maintenanceRounds, syncPeers, countsPerHolder float64
	// seconds: internal/platform/watch.go
	watchReadTimeout, watchDialTimeout, maxWatchRetryDelay float64
	// internal/platform/executorpool.go, internal/daemon/sockets.go and runtimelimits.go; the last one is
	// no constant of the program but the number of datagrams that the kernel's receive buffer holds
	idleTimeoutRatio, reservedSockets, spareClientDivisor, memoryLimitRatio, receiveBufferDatagrams float64
	// percent: internal/daemon/runtimelimits.go
	gcPercent float64
	// in shortest latency objectives: outlier/detector.go
	maxEjectionFactor float64
}

// newProgramConstants returns the constants with the values that they have in the sources.
func newProgramConstants() programConstants {
	return programConstants{
		maxTextBytes: 190, maxMarks: 12, maxDatagramBytes: 256, sendQueueLength: 256, maxEventBytes: 4 << 20,
		eventQueueSize:  1024,
		gossipCostShare: 0.005, minMessagePrice: 0.002, maxGossipBudget: 10, leaderTermObjectives: 2,
		maintenanceRounds: 8, syncPeers: 3, countsPerHolder: 8,
		watchReadTimeout: 2, watchDialTimeout: 1, maxWatchRetryDelay: 0.4, idleTimeoutRatio: 0.6, reservedSockets: 20,
		spareClientDivisor: 16, memoryLimitRatio: 0.7, maxEjectionFactor: 8,
		gcPercent: 150,
		// The kernel's default buffer of 212,992 bytes holds 277 small datagrams if it accounts 768
		// bytes for each. This was not measured.
		receiveBufferDatagrams: 277,
	}
}

// EncodedSize is the size of an encoded message between dispatchers: the lengths of its first text
// and of all its texts, in base64 characters, and the number of texts.
type EncodedSize struct{ FirstText, Total, Texts int }

// Digest is the shape of the leader's message as aggregate.Message.Encode writes it.
type Digest struct {
	Dispatchers, Figures   int
	Partial                bool // some dispatcher is not covered by the sums: a set with one bit per dispatcher follows
	Missing                bool // values of an uncovered one are kept: two more lists of sums and another set follow
	Marks, Counts, Holders int
}

// Length returns the encoded size of the digest.
func (d Digest) Length() EncodedSize {
	head, set := 3+2+2*d.Figures, (d.Dispatchers+7)/8
	if d.Partial {
		head += set
	}
	if d.Missing {
		head += 4*d.Figures + set
	}
	return encodedSize(head, d.Marks, d.Counts, d.Holders)
}

// Report is the shape of a dispatcher's message to the leader. LastCounted is the number of figures
// repeated from the last digest; if it is negative, the list of them is absent.
type Report struct{ Figures, LastCounted, Marks, Counts, Holders int }

// Length returns the encoded size of the report.
func (r Report) Length() EncodedSize {
	head := 3 + 3 + 2*r.Figures
	if r.LastCounted >= 0 {
		head += (r.Figures+7)/8 + 2*r.LastCounted
	}
	return encodedSize(head, r.Marks, r.Counts, r.Holders)
}

// encodedSize follows aggregate.Message.Encode: a text has at most maxTextBytes before base64,
// except that the head of the first one, in bytes, is never cut.
func encodedSize(head, marks, counts, holders int) (size EncodedSize) {
	consts := newProgramConstants()
	limit := int(consts.maxTextBytes)
	for raw := head; size.Texts == 0 || counts+holders > 0; raw = 3 {
		if size.Texts == 0 {
			if k := max(0, min(marks, int(consts.maxMarks), (limit-raw-1)/4)); k > 0 {
				raw += 1 + 4*k
			}
		}
		room := max(0, limit-raw)
		n := min(counts, room/3, 255)
		k := min(holders, (room-3*n)/6)
		raw += 3*n + 6*k
		counts, holders = counts-n, holders-k
		chars := (8*raw + 5) / 6
		if size.Texts == 0 {
			size.FirstText = chars
		}
		size.Texts++
		size.Total += chars
	}
	return size
}

// MaxAffordableDispatchers returns the largest number of dispatchers up to which a leader with a
// full message budget can pay for a digest to all others, at most limit. price is the price of 256
// bytes to one receiver, in calls. length returns the digest's characters for a number of
// dispatchers.
func MaxAffordableDispatchers(price float64, limit int, length func(dispatchers int) int) int {
	for n := 2; n <= limit; n++ {
		if digestPrice(price, float64(n), float64(length(n))) > newProgramConstants().maxGossipBudget {
			return n - 1
		}
	}
	return limit
}

// digestPrice returns the price of a digest of chars characters sent to all other dispatchers, in
// units of the priority weight of one call.
func digestPrice(price, dispatchers, chars float64) float64 {
	return max(price, newProgramConstants().minMessagePrice) * (dispatchers - 1) / 256 * chars
}

// MaxFittingDispatchers returns the largest number of dispatchers, at most limit, up to which the
// first text of the digest fits into a datagram.
func MaxFittingDispatchers(d Digest, limit int) int {
	for n := 1; n <= limit; n++ {
		if d.Dispatchers = n; d.Length().FirstText > int(newProgramConstants().maxDatagramBytes) {
			return n - 1
		}
	}
	return limit
}

// ExpectedCollisions returns the expected number of pairs among n names that share a tag of the
// given number of bits.
func ExpectedCollisions(n float64, bits int) float64 {
	return n * (n - 1) / 2 / math.Exp2(float64(bits))
}

// ExpectedDistinct returns the expected number of distinct items among items that are hit by draws
// with uniform distribution.
func ExpectedDistinct(draws, items float64) float64 { return items * -math.Expm1(-draws/items) }

// RareLoads returns what the calls of one function cost that arrive at random, rate per second, if
// all dispatchers send them to the same worker: the fraction of calls that find no copy, and the
// mean number of copies that are idle or loading. keep and load are the keep-alive and the time of
// a load in seconds.
func RareLoads(rate, keep, load float64) (missing, copies float64) {
	missing = math.Exp(-rate * keep)
	return missing, rate*missing*load - math.Expm1(-rate*keep)
}

// WaitProbability returns the probability that a load has to wait at an executor with the given
// number of slots, of which busy are in use on average (Erlang C formula). A fractional number of
// slots is rounded down. The result is 1 if busy reaches the number of slots.
func WaitProbability(busy, slots float64) float64 {
	n := math.Floor(slots)
	if busy >= n {
		return 1
	}
	b := 1.0 // Erlang B, computed by its recursion
	for k := 1.0; k <= n; k++ {
		b = busy * b / (k + busy*b)
	}
	return b / (1 - busy/n*(1-b))
}

// reportShape returns the mean report of a dispatcher with the given calls per second. It has
// counts of the executors that the calls of one shortest latency objective reach, and new holders
// up to the limit of package balancer.
func (c Case) reportShape(calls float64) Report {
	consts := newProgramConstants()
	counts := math.Round(ExpectedDistinct(calls*c.LatencyObjective, c.Listed()))
	holders := min(consts.syncPeers+math.Floor(counts/consts.countsPerHolder),
		math.Round(calls*c.LatencyObjective/consts.maintenanceRounds))
	return Report{Figures: int(c.Figures), LastCounted: -1, Counts: int(counts), Holders: int(holders)}
}

// reportRate returns the reports per second that a dispatcher sends and the encoded size of one:
// one report in each maintenance round and one with each call to a holder that was not known before
// (functions drawn with uniform distribution), limited by the message budget that its calls add to.
func (c Case) reportRate(calls float64) (rate float64, p EncodedSize) {
	consts := newProgramConstants()
	p = c.reportShape(calls).Length()
	unknown := math.Exp(-calls * c.KeepAlive / c.Functions)
	return min(consts.maintenanceRounds/c.LatencyObjective+calls*unknown,
		consts.gossipCostShare*calls/(max(c.PeerPrice, consts.minMessagePrice)/256*float64(p.Total))), p
}

// fullDigest returns a digest with a count for every listed executor that the calls of all
// dispatchers reach within the shortest latency objective. With missing set, one dispatcher has no
// current report and its earlier values are kept.
func (c Case) fullDigest(missing bool) Digest {
	counts := ExpectedDistinct(c.Calls*c.ListPart*c.LatencyObjective, c.Listed())
	return Digest{
		Dispatchers: int(c.Dispatchers), Figures: int(c.Figures), Partial: missing, Missing: missing,
		Counts: int(math.Round(counts)),
	}
}

// shortDigest returns a digest without counts. missing is as in fullDigest.
func (c Case) shortDigest(missing bool) Digest {
	return Digest{Dispatchers: int(c.Dispatchers), Figures: int(c.Figures), Partial: missing, Missing: missing}
}

// shortDigestOneSilent returns a digest without counts that does not cover one dispatcher, which no
// earlier digest covered either: it had no calls and sent no report.
func (c Case) shortDigestOneSilent() Digest {
	d := c.shortDigest(false)
	d.Partial = true
	return d
}

// leaderTerm returns the length of a leader's term in seconds.
func (c Case) leaderTerm() float64 {
	return newProgramConstants().leaderTermObjectives * c.LatencyObjective
}

// connections returns the expected number of peers to which a side has an open connection if its
// calls, rate per second in total, are spread evenly over them.
func (c Case) connections(rate, peers float64) float64 {
	return ExpectedDistinct(rate*newProgramConstants().idleTimeoutRatio*c.ConnIdle, peers)
}

// rareFunctions returns the number of functions that are called less than once a minute.
func (c Case) rareFunctions() float64 { return c.Rare * c.Functions }
