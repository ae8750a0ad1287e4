package capacity

import (
	"math"
	"slices"
)

// letterSpecs are the rows of requirements that concern no single role, and of the load on the rest
// of the fleet when something fails.
func letterSpecs(b Budgets, none float64) []spec {
	return slices.Concat(rareFunctionSpecs(none), loadWaitSpecs(b), failureSpecs(none), virtualTimeSpecs(none))
}

// rareLoads returns the loads per second and the mean number of copies of all functions that are
// called less than once a minute.
func rareLoads(c Case) (loads, copies float64) {
	missing, each := RareLoads(c.RareCalls, c.KeepAlive, c.Load)
	return c.rareFunctions() * c.RareCalls * missing, c.rareFunctions() * each
}

// rareFunctionSpecs are the rows of the functions that are called less than once a minute.
func rareFunctionSpecs(none float64) []spec {
	return []spec{
		{
			role: letter, what: "48,000 functions: calls of those called less than once a minute", unit: "of all",
			along: Functions, budget: none,
			mechanism: "their place by hash, the same at every dispatcher (`balancer.chooseWorker`)",
			formula:   "rare functions x calls/s / calls/s of all",
			value:     func(r *evaluation) float64 { return r.rareFunctions() * r.RareCalls / r.Calls },
		},
		{
			role: letter, what: "48,000 functions: one dispatcher meets such a function every", unit: "s",
			along: Dispatchers, budget: none,
			mechanism: "no belief outlives it, no word about it is of use: the hash alone knows where",
			formula:   "dispatchers / calls/s of it",
			value:     func(r *evaluation) float64 { return r.Dispatchers / r.RareCalls },
		},
		{
			role: letter, what: "48,000 functions: calls of these that find no copy", unit: "of theirs",
			along: Functions, budget: none,
			mechanism: noneYet + ": the keep-alive is the platform's",
			formula:   "exp(-calls/s x keep-alive), all at one place",
			value: func(r *evaluation) float64 {
				missing,
					_ := RareLoads(r.RareCalls, r.KeepAlive, r.Load)
				return missing
			},
		},
		{
			role: letter, what: "48,000 functions: loads of these", unit: "1/s", along: Functions, budget: none,
			mechanism: "the store's; rationed (`balancer.orderLoad`)",
			formula:   "rare functions x calls/s x part without a copy",
			value:     func(r *evaluation) float64 { loads, _ := rareLoads(r.Case); return loads },
		},
		{
			role: letter, what: "48,000 functions: copies that these hold", unit: "of the instances",
			along: Functions, budget: none,
			mechanism: "`balancer.unloadIdleCopies`, the executors' keep-alive",
			formula:   "rare functions x (1 - exp(-calls/s x keep-alive) + loading) / instances",
			value:     func(r *evaluation) float64 { _, copies := rareLoads(r.Case); return copies / r.Instances },
		},
		{
			role: letter, what: "380,000 calls/s: of the mean dispatcher", unit: "1/s", along: Calls, budget: none,
			mechanism: "-",
			formula:   "calls/s over dispatchers",
			value:     func(r *evaluation) float64 { return r.CallsEach() },
		},
	}
}

// loadWaitSpecs are the rows of the time that a call waits for a load.
func loadWaitSpecs(b Budgets) []spec {
	return []spec{
		{
			role: letter, what: "cold start, p99 of the load alone", unit: "s", along: Fleet, budget: b.LoadWait,
			budgetOf:  ofLetter,
			mechanism: noneYet + ": the store's and the start's",
			formula:   "mean load x tail", value: func(r *evaluation) float64 { return r.Load * r.LoadTail },
		},
		{
			role: letter, what: "cold start, p99 with the image on the executor's disk", unit: "s", along: Fleet,
			budget: b.LoadWait, budgetOf: ofLetter,
			mechanism: noneYet + ": nothing sends a function where its image is",
			formula:   "the same without the fetch, 0.44 to 0.71 of it",
			value:     func(r *evaluation) float64 { return r.Load * r.LoadTail * (1 - r.FetchPart) },
		},
		{
			role: letter, what: "cold start, chance that a load waits at its executor", along: Fleet, budget: 0.01,
			budgetOf:  ofYardstick,
			mechanism: "executors load 3 to 6 at a time; places by hash spread them",
			formula:   "Erlang C, rare loads/s x mean load over executors, 4 slots",
			value: func(r *evaluation) float64 {
				loads, _ := rareLoads(r.Case)
				return WaitProbability(loads*r.Load/r.Executors, r.LoadSlots)
			},
		},
		{
			role: letter, what: "cold start, p99 in virtual time", unit: "s", along: Functions, budget: b.LoadWait,
			budgetOf:  ofLetter,
			mechanism: "an order to load, the call held meanwhile (`balancer.holdForLoad`)",
			formula:   "p99.cold",
			value: func(r *evaluation) float64 {
				return r.largestRun("p99.cold")
			},
		},
	}
}

// failureSpecs are the rows of what remains when machines, zones, regions or discovery fail.
func failureSpecs(none float64) []spec {
	return []spec{
		{
			role: letter, what: "two machines a day: dispatchers missing at a time, an hour each", along: Fleet,
			budget:    none,
			mechanism: "remembered, not taken for idle (`aggregate`)",
			formula:   "2 / 24, were all of them dispatchers'",
			value:     func(r *evaluation) float64 { return r.Failing / 24 },
		},
		{
			role: letter, what: "100 restarted a day: part of the day with one missing, 5 minutes each", along: Fleet,
			budget:    none,
			mechanism: "the same; the first text is too long then",
			formula:   "1 - exp(-100 x 300 s / 86,400 s)",
			value:     func(r *evaluation) float64 { return -math.Expm1(-r.Restarted * 300 / 86400) },
		},
		{
			role: letter, what: "a rack of 40 executors gone: the rest bears more", unit: "of its calls",
			along: Executors, budget: none,
			mechanism: "silence told by two observers (`outlier`); each by itself where no digest comes",
			formula:   "executors / (executors - 40)",
			value:     func(r *evaluation) float64 { return r.Executors / max(1, r.Executors-40) },
		},
		{
			role: letter, what: "a zone gone: the rest bears more", unit: "of its calls", along: Executors,
			budget:    none,
			mechanism: "zones judged as one (`outlier`)",
			formula:   "1 / (zones - 1)", value: func(r *evaluation) float64 { return 1 / (r.Zones - 1) },
		},
		{
			role: letter, what: "a zone gone: its copies are loaded elsewhere within", unit: "s", along: Executors,
			budget:    none,
			mechanism: "rationed (`balancer.orderLoad`); the store's limit is not told in fetches a second",
			formula:   "instances / zones x mean load / (executors left x 4.5 slots), evenly spread",
			value: func(r *evaluation) float64 {
				return r.Instances / r.Zones * r.Load / (r.Executors * (1 - 1/r.Zones) * r.LoadSlots)
			},
		},
		{
			role: letter, what: "regions that lose each other: members in a region's digest that count as missing",
			along:     Dispatchers,
			budget:    none,
			mechanism: "totals with bounds, each side collects for itself (`aggregate`, `leader`)",
			formula:   "dispatchers x (1 - 1/regions)",
			value:     func(r *evaluation) float64 { return r.Dispatchers * (1 - 1/r.Regions) },
		},
		{
			role: letter, what: "all dispatchers restarted without discovery: until the ramp is over", unit: "s",
			along: Dispatchers, budget: none,
			mechanism: "kept list (`endpoints`): four proofs of an executor, each after dispatchers / 300 s",
			formula:   "4 x dispatchers / 300",
			value:     func(r *evaluation) float64 { return 4 * r.Dispatchers / r.ProbeRate },
		},
	}
}

// virtualTimeSpecs are the rows measured in the largest run in virtual time.
func virtualTimeSpecs(none float64) []spec {
	return []spec{
		{
			role: letter, what: "worth in time, in virtual time", unit: "of that asked", along: Dispatchers,
			budget:    none,
			mechanism: "-",
			formula:   "worth",
			value:     func(r *evaluation) float64 { return r.largestRun("worth") },
		},
		{
			role: letter, what: "calls never served, in virtual time", unit: "of all", along: Dispatchers,
			budget: none, mechanism: "-", formula: "unserved",
			value: func(r *evaluation) float64 {
				return r.largestRun("unserved")
			},
		},
		{
			role: letter, what: "loads, in virtual time", unit: "a call", along: Functions,
			budget: none, mechanism: "`balancer.holdForLoad`, `balancer.orderLoad`", formula: "loads",
			value: func(r *evaluation) float64 { return r.largestRun("loads") },
		},
		{
			role: letter, what: "part of the fleet that a dispatcher's view covers, in virtual time",
			along: Dispatchers, budget: none,
			mechanism: "`aggregate.View`", formula: "covered",
			value: func(r *evaluation) float64 { return r.largestRun("covered") },
		},
		{
			role: letter, what: "terms in which half of the dispatchers were told", unit: "of all",
			along: Dispatchers, budget: none,
			mechanism: "`balancer.sendGossip`",
			formula:   "digests",
			value:     func(r *evaluation) float64 { return r.largestRun("digests") },
		},
	}
}
