package capacity

import (
	"math"
)

// executorSpecs are the rows of the load that dispatchers place on an executor. The requirements
// set no budgets for it.
func executorSpecs(consts programConstants, none float64) []spec {
	each := func(c Case) float64 { return c.Calls / c.Executors }
	open := func(r *evaluation) float64 {
		return r.connections(r.CallsEach(), r.Listed()) * r.Dispatchers / r.Executors
	}
	return []spec{
		{
			role: executor, what: "calls", unit: "1/s", along: Fleet, budget: none,
			mechanism: "`balancer.chooseWorker`",
			formula:   "calls/s over executors",
			value:     func(r *evaluation) float64 { return each(r.Case) },
		},
		{
			role: executor, what: "connections open", along: Fleet, budget: none,
			mechanism: "idle ones end after 9 s (`idleTimeoutRatio`)",
			formula:   "dispatchers x (1 - exp(-9 s x calls/s of one dispatcher / listed))",
			value:     open,
		},
		{
			role: executor, what: "handshakes", unit: "1/s", along: Fleet, budget: none,
			mechanism: noneYet + ": dispatchers share no connections",
			formula:   "calls/s x exp(-9 s x calls/s of one dispatcher / listed)",
			value: func(r *evaluation) float64 {
				return each(r.Case) * math.Exp(-consts.idleTimeoutRatio*r.ConnIdle*r.CallsEach()/r.Listed())
			},
		},
		{
			role: executor, what: "probes while all dispatchers start from a kept list", unit: "of a core",
			along: Dispatchers, budget: none,
			mechanism: "300 a second from all together, whatever their number (`endpoints.List.checkSpread`)",
			formula:   "300/s x 0.4 ms", value: func(r *evaluation) float64 { return r.ProbeRate * r.ProbeWork },
		},
	}
}

// discoverySpecs are the rows of the load on discovery, which belongs to the platform, and of the
// time until a change of the endpoint list is in force.
func discoverySpecs(b Budgets, consts programConstants, none float64) []spec {
	return []spec{
		{
			role: discovery, what: "connections held", along: Dispatchers, budget: none,
			mechanism: "the platform's",
			formula:   "dispatchers",
			value:     func(r *evaluation) float64 { return r.Dispatchers },
		},
		{
			role: discovery, what: "lines told", unit: "1/s", along: Fleet, budget: none,
			mechanism: "the platform's",
			formula:   "dispatchers x (1 + changes/86,400 + list events/s)",
			value:     func(r *evaluation) float64 { return r.Dispatchers * (1 + r.listRate()) },
		},
		{
			role: discovery, what: "burst of 20 changes in a second", unit: "B/s", along: Fleet, budget: none,
			mechanism: "the platform's",
			formula:   "20 x dispatchers x bytes of an event",
			value:     func(r *evaluation) float64 { return 20 * r.Dispatchers * r.EventBytes },
		},
		{
			role: discovery, what: "the whole list to all within 12 s", unit: "B/s", along: Fleet, budget: none,
			mechanism: "the platform's; we resume from the last event, so it is needed after a restart alone",
			formula:   "dispatchers x listed x 152 B / 12 s",
			value:     func(r *evaluation) float64 { return r.Dispatchers * r.Listed() * executorBytes / b.InForce },
		},
		{
			role: letter, what: "a change of the list, in force everywhere", unit: "s", along: Changes,
			budget: b.InForce, budgetOf: ofLetter,
			mechanism: "the channel: dead after 2 s without a line, 0.4 s to the next try, 1 s to connect",
			formula:   "time until discovery tells it + 3.4 s at a break",
			value: func(r *evaluation) float64 {
				return r.DiscoveryDelay + consts.watchReadTimeout + consts.maxWatchRetryDelay + consts.watchDialTimeout
			},
		},
		{
			role: letter, what: "a change of the list, until the last dispatcher has it", unit: "s", along: Dispatchers,
			budget: b.InForce, budgetOf: ofLetter,
			mechanism: "the channel",
			formula:   "acts.last, discovery's delay in it as emulated",
			value:     func(r *evaluation) float64 { return r.largestRun("acts.last") },
		},
	}
}

// tierSpecs are the rows of the 17 machines reserved for control. The program does not run on them;
// the rows give the load that they would have if they collected the reports.
func tierSpecs(none float64) []spec {
	share := func(c Case, machines float64) float64 { return c.Dispatchers / machines }
	return []spec{
		{
			role: tier, what: "dispatchers for each, one machine down", along: Dispatchers, budget: none,
			mechanism: noneYet + ": dispatchers collect in turn, the 17 carry nothing of ours",
			formula:   "dispatchers / 16",
			value:     func(r *evaluation) float64 { return share(r.Case, r.Machines-1) },
		},
		{
			role: tier, what: "reports for each, were they to collect, one machine down", unit: "B/s", along: Fleet,
			budget:    none,
			mechanism: noneYet,
			formula:   "dispatchers / 16 x reports sent",
			value: func(r *evaluation) float64 {
				rate, p := r.reportRate(r.CallsEach())
				return share(r.Case, r.Machines-1) * rate * float64(p.Total)
			},
		},
	}
}
