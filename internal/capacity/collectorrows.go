package capacity

import (
	"math"
	"slices"
)

// collectorSpecs are the rows of the dispatcher that collects reports for a term of two shortest
// latency objectives and sends the digest to all.
func collectorSpecs(of sizes) []spec {
	return slices.Concat(collectorReportSpecs(of), digestPriceSpecs(of), digestTextSpecs(of))
}

// incomingReports returns the texts and characters of reports per second that come to a collector.
func incomingReports(c Case) (texts, chars float64) {
	rate, p := c.reports(c.CallsEach())
	return rate * (c.Dispatchers - 1) * float64(p.Texts), rate * (c.Dispatchers - 1) * float64(p.All)
}

// collectorReportSpecs are the rows of the reports that come in and of the work with them.
func collectorReportSpecs(of sizes) []spec {
	return []spec{
		{
			role: collector, what: "texts of reports that come in a second", unit: "1/s", along: Fleet,
			budget:    math.NaN(),
			mechanism: "another one each term (`turns.Collector`)",
			formula:   "(dispatchers - 1) x reports/s x texts",
			of:        func(r *reading) float64 { t, _ := incomingReports(r.Case); return t },
		},
		{
			role: collector, what: "bytes of reports in a second", unit: "B/s", along: Fleet, budget: math.NaN(),
			mechanism: "the same",
			formula:   "(dispatchers - 1) x reports/s x characters",
			of:        func(r *reading) float64 { _, n := incomingReports(r.Case); return n },
		},
		{
			role: collector, what: "bytes of reports in a term", unit: "B", along: Fleet, budget: math.NaN(),
			mechanism: "the same",
			formula:   "two shortest aims of these",
			of:        func(r *reading) float64 { _, n := incomingReports(r.Case); return n * r.term() },
		},
		{
			role: collector, what: "bytes of a digest's one round, to all", unit: "B", along: Fleet, budget: math.NaN(),
			mechanism: "`peers_all`, where the platform gives it",
			formula:   "characters of a whole digest x (dispatchers - 1)", of: func(r *reading) float64 {
				return float64(r.fullDigest(true).Length().All) * (r.Dispatchers - 1)
			},
		},
		{
			role: collector, what: "processor time in its second", unit: "of a core", along: Fleet, budget: 1,
			budgetOf:  ofOurs,
			mechanism: noneYet + ": one dispatcher hears all",
			formula:   "texts a second x cpu.read; budget: the one core that it has", of: func(r *reading) float64 {
				t, _ := incomingReports(r.Case)
				return 1e-9 * t * r.step("cpu.read")
			},
		},
		{
			role: collector, what: "texts that come while its loop is busy for a round", along: Fleet,
			budget: of.eventsWait + of.datagramsInAReceive, budgetOf: ofTheProgram,
			mechanism: noneYet,
			formula: "texts a second x aim/8; budget: 1,024 events and some 277 datagrams in the kernel (768 B " +
				"each: not measured)",
			of: func(r *reading) float64 {
				t, _ := incomingReports(r.Case)
				return t * r.LatencyObjective / of.maintenanceRounds
			},
		},
	}
}

// digestPriceSpecs are the rows of what a digest costs, against the message budget.
func digestPriceSpecs(of sizes) []spec {
	price := func(d Digest, r *reading) float64 {
		return digestPrice(r.PeerPrice, r.Dispatchers, float64(d.Length().All))
	}
	return []spec{
		{
			role: collector, what: "price of a whole digest", along: Fleet, budget: of.budgetMax,
			budgetOf:  ofTheProgram,
			mechanism: noneYet + ": too dear, none is told; short ones where they fit",
			formula:   "0.021/256 x receivers x characters; budget: what may be saved up (`maxGossipBudget`)",
			of:        func(r *reading) float64 { return price(r.fullDigest(false), r) },
		},
		{
			role: collector, what: "price of a short digest, nobody missing", along: Dispatchers,
			budget: of.budgetMax, budgetOf: ofTheProgram,
			mechanism: "`Message.Short`",
			formula:   "the same of the sums alone", of: func(r *reading) float64 { return price(r.sums(false), r) },
		},
		{
			role: collector, what: "price of a short digest, one silent in the term", along: Dispatchers,
			budget: of.budgetMax, budgetOf: ofTheProgram, mechanism: noneYet,
			formula: "the same with a bit for each dispatcher: one without calls, or not heard",
			of:      func(r *reading) float64 { return price(r.silent(), r) },
		},
		{
			role: collector, what: "price of a short digest, one missing", along: Dispatchers,
			budget: of.budgetMax, budgetOf: ofTheProgram, mechanism: noneYet,
			formula: "the same with two bits for each dispatcher",
			of:      func(r *reading) float64 { return price(r.sums(true), r) },
		},
	}
}

// digestTextSpecs are the rows of a digest's texts, against the channel's limits.
func digestTextSpecs(of sizes) []spec {
	return []spec{
		{
			role: collector, what: "first text, nobody missing", unit: "B", along: Dispatchers, budget: of.datagram,
			budgetOf:  ofTheProgram,
			mechanism: "sums alone, no bits (`aggregate.Message.Encode`)",
			formula:   "4/3 x (5 + 2 figures)",
			of:        func(r *reading) float64 { return float64(r.sums(false).Length().First) },
		},
		{
			role: collector, what: "first text, one silent in the term", unit: "B", along: Dispatchers,
			budget: of.datagram, budgetOf: ofTheProgram, mechanism: noneYet,
			formula: "4/3 x (5 + 2 figures + dispatchers/8)",
			of:      func(r *reading) float64 { return float64(r.silent().Length().First) },
		},
		{
			role: collector, what: "first text, one missing", unit: "B", along: Dispatchers, budget: of.datagram,
			budgetOf:  ofTheProgram,
			mechanism: noneYet + ": dropped as too long, with one log line, where the price lets it go at all",
			formula:   "4/3 x (5 + 6 figures + dispatchers/4)",
			of:        func(r *reading) float64 { return float64(r.sums(true).Length().First) },
		},
		{
			role: collector, what: "datagrams that one text needs without `peers_all`", along: Dispatchers,
			budget: of.waiting, budgetOf: ofTheProgram,
			mechanism: "`peers_all`; without it what does not fit in the queue is lost, uncounted",
			formula:   "dispatchers - 1; budget: the queue of the peers' socket",
			of:        func(r *reading) float64 { return r.Dispatchers - 1 },
		},
		{
			role: collector, what: "in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			mechanism: "`balancer.sendGossip`",
			formula:   "collector.in.busiest",
			of:        func(r *reading) float64 { return r.state("collector.in.busiest") },
		},
		{
			role: collector, what: "out in its busiest second", unit: "B/s", along: Dispatchers, budget: math.NaN(),
			mechanism: "`balancer.sendGossip`",
			formula:   "collector.out.busiest",
			of: func(r *reading) float64 {
				return r.state("collector.out.busiest")
			},
		},
	}
}
