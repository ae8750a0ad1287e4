package capacity

import (
	"math"
)

// byteSpecs are the rows of the control traffic that a dispatcher sends and receives, in bytes per
// second.
func byteSpecs(b Budgets, consts programConstants) []spec {
	return []spec{
		{
			role: dispatcher, what: "reports sent, by arithmetic", unit: "B/s", along: Calls, budget: b.Bytes,
			budgetOf: ofLetter,
			formula: "what calls pay for: 0.005 x calls/s x 256 / price; fewer where rounds and calls to new " +
				"holders are fewer",
			mechanism: noneYet + ": their price is counted by calls, not by seconds (`balancer.sendGossip`)",
			value: func(r *evaluation) float64 {
				rate, p := r.reportRate(r.CallsEach() * r.Busiest)
				return rate * float64(p.Total)
			},
		},
		{
			role: dispatcher, what: "whole digests heard, were they paid for", unit: "B/s", along: Fleet,
			budget: b.Bytes, budgetOf: ofLetter,
			formula:   "characters of sums and 3 B for each busy executor, once a term",
			mechanism: "the price stops them: see the collector's rows",
			value: func(r *evaluation) float64 {
				return float64(r.fullDigest(true).Length().Total) / r.leaderTerm()
			},
		},
		{
			role: dispatcher, what: "messages in and out", unit: "B/s", along: Fleet, budget: b.Bytes,
			budgetOf: ofLetter,
			formula:  "bytes", mechanism: "`balancer.sendGossip`",
			value: func(r *evaluation) float64 { return r.sum("bytes") },
		},
		{
			role: dispatcher, what: "messages in", unit: "B/s", along: Fleet, budget: math.NaN(),
			formula: "bytes.in", mechanism: "`balancer.sendGossip`",
			value: func(r *evaluation) float64 { return r.sum("bytes.in") },
		},
		{
			role: dispatcher, what: "messages out", unit: "B/s", along: Fleet, budget: math.NaN(),
			formula: "bytes.out", mechanism: "`balancer.sendGossip`",
			value: func(r *evaluation) float64 { return r.sum("bytes.out") },
		},
		{
			role: dispatcher, what: "messages out in its busiest second", unit: "B/s", along: Dispatchers,
			budget: math.NaN(), formula: "bytes.out.busiest",
			mechanism: "`balancer.sendGossip`",
			value:     func(r *evaluation) float64 { return r.sum("bytes.out.busiest") },
		},
		{
			role: dispatcher, what: "command channel", unit: "B/s", along: Changes, budget: b.Bytes, budgetOf: ofLetter,
			mechanism: "changes alone (`internal/platform/watch.go`)",
			formula:   "(changes/86,400 + list events/s) x bytes of an event + a number's line a second",
			value:     func(r *evaluation) float64 { return r.listRate()*r.EventBytes + 8 },
		},
		{
			role: dispatcher, what: "answers to its hellos after a restart", unit: "B", along: Fleet,
			budget:    math.NaN(),
			mechanism: "`balancer.HandlePeerMessage`; not priced",
			formula:   "3 x all holders that one believes, 6 B each: those of calls within the keep-alive",
			value: func(r *evaluation) float64 {
				return consts.syncPeers *
					float64(encodedSize(3, 0, 0, int(ExpectedDistinct(r.CallsEach()*r.KeepAlive, r.Functions))).Total)
			},
		},
	}
}
