package capacity

import (
	"math"
	"slices"
)

// collectorSpecs are the rows of the leader (collector), the dispatcher that collects reports for a
// term of two shortest latency objectives and sends the digest to all.
func collectorSpecs(consts programConstants) []spec {
	return slices.Concat(collectorReportSpecs(consts), digestPriceSpecs(consts), digestTextSpecs(consts))
}

// incomingReports returns the texts and the characters of reports per second that a leader
// receives.
func incomingReports(c Case) (texts, chars float64) {
	rate, p := c.reportRate(c.CallsEach())
	return rate * (c.Dispatchers - 1) * float64(p.Texts), rate * (c.Dispatchers - 1) * float64(p.Total)
}

// collectorReportSpecs are the rows of incoming reports and of the work to process them.
func collectorReportSpecs(consts programConstants) []spec {
	return []spec{
		{
			role: collector, what: "texts of reports that come in a second", unit: "1/s", along: Fleet,
			budget:    math.NaN(),
			mechanism: "another one each term (`turns.Collector`)",
			formula:   "(dispatchers - 1) x reports/s x texts",
			value:     func(r *evaluation) float64 { t, _ := incomingReports(r.Case); return t },
		},
		{
			role: collector, what: "bytes of reports in a second", unit: "B/s", along: Fleet, budget: math.NaN(),
			mechanism: "the same",
			formula:   "(dispatchers - 1) x reports/s x characters",
			value:     func(r *evaluation) float64 { _, n := incomingReports(r.Case); return n },
		},
		{
			role: collector, what: "bytes of reports in a term", unit: "B", along: Fleet, budget: math.NaN(),
			mechanism: "the same",
			formula:   "two shortest aims of these",
			value:     func(r *evaluation) float64 { _, n := incomingReports(r.Case); return n * r.leaderTerm() },
		},
		{
			role: collector, what: "bytes of a digest's one round, to all", unit: "B", along: Fleet, budget: math.NaN(),
			mechanism: "`peers_all`, where the platform gives it",
			formula:   "characters of a whole digest x (dispatchers - 1)", value: func(r *evaluation) float64 {
				return float64(r.fullDigest(true).Length().Total) * (r.Dispatchers - 1)
			},
		},
		{
			role: collector, what: "processor time in its second", unit: "of a core", along: Fleet, budget: 1,
			budgetOf:  ofYardstick,
			mechanism: noneYet + ": one dispatcher hears all",
			formula:   "texts a second x cpu.read; budget: the one core that it has",
			value: func(r *evaluation) float64 {
				t, _ := incomingReports(r.Case)
				return 1e-9 * t * r.product("cpu.read")
			},
		},
		{
			role: collector, what: "texts that come while its loop is busy for a round", along: Fleet,
			budget: consts.eventQueueSize + consts.receiveBufferDatagrams, budgetOf: ofProgram,
			mechanism: noneYet,
			formula: "texts a second x aim/8; budget: 1,024 events and some 277 datagrams in the kernel (768 B " +
				"each: not measured)",
			value: func(r *evaluation) float64 {
				t, _ := incomingReports(r.Case)
				return t * r.LatencyObjective / consts.maintenanceRounds
			},
		},
	}
}

// digestPriceSpecs are the rows that compare the price of a digest with the message budget.
func digestPriceSpecs(consts programConstants) []spec {
	price := func(d Digest, r *evaluation) float64 {
		return digestPrice(r.PeerPrice, r.Dispatchers, float64(d.Length().Total))
	}
	return []spec{
		{
			role: collector, what: "price of a whole digest", along: Fleet, budget: consts.maxGossipBudget,
			budgetOf:  ofProgram,
			mechanism: noneYet + ": too dear, none is told; short ones where they fit",
			formula:   "0.021/256 x receivers x characters; budget: what may be saved up (`maxGossipBudget`)",
			value:     func(r *evaluation) float64 { return price(r.fullDigest(false), r) },
		},
		{
			role: collector, what: "price of a short digest, nobody missing", along: Dispatchers,
			budget: consts.maxGossipBudget, budgetOf: ofProgram,
			mechanism: "`Message.Short`",
			formula:   "the same of the sums alone",
			value:     func(r *evaluation) float64 { return price(r.shortDigest(false), r) },
		},
		{
			role: collector, what: "price of a short digest, one silent in the term", along: Dispatchers,
			budget: consts.maxGossipBudget, budgetOf: ofProgram, mechanism: noneYet,
			formula: "the same with a bit for each dispatcher: one without calls, or not heard",
			value:   func(r *evaluation) float64 { return price(r.shortDigestOneSilent(), r) },
		},
		{
			role: collector, what: "price of a short digest, one missing", along: Dispatchers,
			budget: consts.maxGossipBudget, budgetOf: ofProgram, mechanism: noneYet,
			formula: "the same with two bits for each dispatcher",
			value:   func(r *evaluation) float64 { return price(r.shortDigest(true), r) },
		},
	}
}

// digestTextSpecs are the rows that compare the texts of a digest with the limits of the channel
// between dispatchers, and of the leader's traffic in its busiest second.
func digestTextSpecs(consts programConstants) []spec {
	return []spec{
		{
			role: collector, what: "first text, nobody missing", unit: "B", along: Dispatchers,
			budget:    consts.maxDatagramBytes,
			budgetOf:  ofProgram,
			mechanism: "sums alone, no bits (`aggregate.Message.Encode`)",
			formula:   "4/3 x (5 + 2 figures)",
			value:     func(r *evaluation) float64 { return float64(r.shortDigest(false).Length().FirstText) },
		},
		{
			role: collector, what: "first text, one silent in the term", unit: "B", along: Dispatchers,
			budget: consts.maxDatagramBytes, budgetOf: ofProgram, mechanism: noneYet,
			formula: "4/3 x (5 + 2 figures + dispatchers/8)",
			value:   func(r *evaluation) float64 { return float64(r.shortDigestOneSilent().Length().FirstText) },
		},
		{
			role: collector, what: "first text, one missing", unit: "B", along: Dispatchers,
			budget:    consts.maxDatagramBytes,
			budgetOf:  ofProgram,
			mechanism: noneYet + ": dropped as too long, with one log line, where the price lets it go at all",
			formula:   "4/3 x (5 + 6 figures + dispatchers/4)",
			value:     func(r *evaluation) float64 { return float64(r.shortDigest(true).Length().FirstText) },
		},
		{
			role: collector, what: "datagrams that one text needs without `peers_all`", along: Dispatchers,
			budget: consts.sendQueueLength, budgetOf: ofProgram,
			mechanism: "`peers_all`; without it what does not fit in the queue is lost, uncounted",
			formula:   "dispatchers - 1; budget: the queue of the peers' socket",
			value:     func(r *evaluation) float64 { return r.Dispatchers - 1 },
		},
		{
			role: collector, what: "in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			mechanism: "`balancer.sendGossip`",
			formula:   "collector.in.busiest",
			value:     func(r *evaluation) float64 { return r.sum("collector.in.busiest") },
		},
		{
			role: collector, what: "out in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			mechanism: "`balancer.sendGossip`",
			formula:   "collector.out.busiest",
			value: func(r *evaluation) float64 {
				return r.sum("collector.out.busiest")
			},
		},
	}
}
