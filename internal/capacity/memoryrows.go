package capacity

import (
	"math"
	"slices"
)

// memorySpecs are the rows of a dispatcher's memory and state.
func memorySpecs(base Case, b Budgets, of sizes) []spec {
	return slices.Concat(heapSpecs(b, of), stateSpecs(of), connectionSpecs(base, of), tagSpecs(),
		fullListSpecs(base, of))
}

// heapSpecs are the rows of the live heap. It may grow to the part of the limit where the garbage
// collector works harder (internal/daemon, memoryPart).
func heapSpecs(b Budgets, of sizes) []spec {
	return []spec{
		{
			role: dispatcher, what: "memory: live heap", unit: "B",
			formula: "heap; budget 0.7 of the limit, where collection works harder", along: Fleet,
			mechanism: "`SetMemoryLimit` (`internal/daemon`)",
			budget:    of.memoryPart * b.Memory, budgetOf: ofLetter, of: func(r *reading) float64 {
				return r.state("heap")
			},
		},
		{
			role: dispatcher, what: "memory: heap as it grows between collections", unit: "B",
			formula: "2.5 x heap: collected at 150 %", along: Fleet,
			mechanism: "`SetGCPercent`, `SetMemoryLimit` (`internal/daemon`)", budget: b.Memory, budgetOf: ofLetter,
			of: func(r *reading) float64 {
				return (1 + of.collectAt/100) * r.state("heap")
			},
		},
	}
}

// stateSpecs are the rows of the holder table.
func stateSpecs(of sizes) []spec {
	tau := func(c Case) float64 { return of.longest * c.LatencyObjective }
	known := func(c Case) float64 { // functions met within the keep-alive and tau (balancer.sweep)
		rare, often := c.rare(), c.Functions-c.rare()
		each, calls := c.RareCalls/c.Dispatchers, max(0, c.Calls-rare*c.RareCalls)/c.Dispatchers
		long := c.KeepAlive + tau(c)
		return Distinct(rare*each*long, rare) + Distinct(calls*long, max(1, often))
	}
	return []spec{
		{
			role: dispatcher, what: "state: functions in the holder table",
			formula:   "those of its own calls within keep-alive + 8 shortest aims; a collector learns of others",
			along:     Fleet,
			mechanism: "`balancer.sweep`", budget: math.NaN(), of: func(r *reading) float64 { return known(r.Case) },
		},
	}
}

// connectionSpecs are the rows of the sockets to executors.
func connectionSpecs(base Case, of sizes) []spec {
	sockets := math.Floor(base.Descriptors) // internal/daemon: clients hold a third and a sixteenth
	sockets -= math.Floor(sockets/3) + math.Floor(sockets/of.clientSpare) + of.reserved
	return []spec{
		{
			role: dispatcher, what: "connections to executors",
			formula: "listed x (1 - exp(-calls/s x 9 s / listed)), calls even over executors", along: Executors,
			mechanism: "the one idle for longest gives way (`Fleet.giveWay`): a handshake more", budget: sockets,
			budgetOf: ofTheProgram,
			of:       func(r *reading) float64 { return r.connections(r.CallsEach()*r.Busiest, r.Listed()) },
		},
	}
}

// tagSpecs are the rows of executors and functions that share a short tag.
func tagSpecs() []spec {
	return []spec{
		{
			role: dispatcher, what: "executors that share a 16-bit tag with another, pairs",
			formula: "n (n-1) / 2 / 2^16", along: Executors, budget: 1, budgetOf: ofOurs,
			mechanism: noneYet + ": what is told of one counts for the other (`balancer.workerTag`)",
			of:        func(r *reading) float64 { return Collisions(r.Listed(), 16) },
		},
		{
			role: dispatcher, what: "functions that share a 32-bit tag with another, pairs",
			formula: "n (n-1) / 2 / 2^32", along: Functions, budget: 1, budgetOf: ofOurs,
			mechanism: noneYet + ": one row of the holder table for both (`balancer.functionTag`)",
			of:        func(r *reading) float64 { return Collisions(r.Functions, 32) },
		},
	}
}

// fullListSpecs are the rows of a full list, which comes in one line.
func fullListSpecs(base Case, of sizes) []spec {
	return []spec{
		{
			role: dispatcher, what: "whole list: the loop stands still for", unit: "s",
			formula:   "cpu.list.whole; budget: a housekeeping round, from which on it counts as having stood still",
			along:     Executors,
			mechanism: "`balancer.UpdateEndpoints`",
			budget:    base.LatencyObjective / of.maintenanceRounds, budgetOf: ofTheProgram,
			of: func(r *reading) float64 { return 1e-9 * r.step("cpu.list.whole") },
		},
		{
			role: dispatcher, what: "whole list: its line", unit: "B",
			formula: "152 x listed; budget: the longest line that is read", along: Executors,
			mechanism: "`maxEventBytes` (`internal/platform/watch.go`); " +
				"a longer one ends the connection, again and again",
			budget: of.line, budgetOf: ofTheProgram,
			of: func(r *reading) float64 { return memberBytes * r.Listed() },
		},
	}
}

// memberBytes is an executor in a list event, with a start and a zone's name of some letters; the
// rest of the line is 60 bytes.
const memberBytes = 152
