package capacity

import (
	"math"
	"slices"
)

// memorySpecs are the rows of a dispatcher's memory and state.
func memorySpecs(base Case, b Budgets, consts programConstants) []spec {
	return slices.Concat(heapSpecs(b, consts), stateSpecs(consts), connectionSpecs(base, consts), tagSpecs(),
		fullListSpecs(base, consts))
}

// heapSpecs are the rows of the heap. The live heap may grow to the runtime's soft limit, the
// fraction memoryLimitRatio (internal/daemon/runtimelimits.go) of the memory limit, beyond which
// the garbage collector runs more often.
func heapSpecs(b Budgets, consts programConstants) []spec {
	return []spec{
		{
			role: dispatcher, what: "memory: live heap", unit: "B",
			formula: "heap; budget 0.7 of the limit, where collection works harder", along: Fleet,
			mechanism: "`SetMemoryLimit` (`internal/daemon`)",
			budget:    consts.memoryLimitRatio * b.Memory, budgetOf: ofLetter, value: func(r *evaluation) float64 {
				return r.sum("heap")
			},
		},
		{
			role: dispatcher, what: "memory: heap as it grows between collections", unit: "B",
			formula: "2.5 x heap: collected at 150 %", along: Fleet,
			mechanism: "`SetGCPercent`, `SetMemoryLimit` (`internal/daemon`)", budget: b.Memory, budgetOf: ofLetter,
			value: func(r *evaluation) float64 {
				return (1 + consts.gcPercent/100) * r.sum("heap")
			},
		},
	}
}

// stateSpecs are the rows of the holder table.
func stateSpecs(consts programConstants) []spec {
	tau := func(c Case) float64 { return consts.maxEjectionFactor * c.LatencyObjective }
	known := func(c Case) float64 { // functions called within the keep-alive and tau (balancer.sweep)
		rare, often := c.rareFunctions(), c.Functions-c.rareFunctions()
		each, calls := c.RareCalls/c.Dispatchers, max(0, c.Calls-rare*c.RareCalls)/c.Dispatchers
		long := c.KeepAlive + tau(c)
		return ExpectedDistinct(rare*each*long, rare) + ExpectedDistinct(calls*long, max(1, often))
	}
	return []spec{
		{
			role: dispatcher, what: "state: functions in the holder table",
			formula:   "those of its own calls within keep-alive + 8 shortest aims; a collector learns of others",
			along:     Fleet,
			mechanism: "`balancer.sweep`", budget: math.NaN(),
			value: func(r *evaluation) float64 { return known(r.Case) },
		},
	}
}

// connectionSpecs are the rows of connections to executors. The budget is that of a dispatcher
// without webhooks and HTTP/2, which use further sockets.
func connectionSpecs(base Case, consts programConstants) []spec {
	// Clients get a third and a sixteenth of the descriptors: newSocketBudget in internal/daemon.
	sockets := math.Floor(base.Descriptors)
	sockets -= math.Floor(sockets/3) + math.Floor(sockets/consts.spareClientDivisor) + consts.reservedSockets
	return []spec{
		{
			role: dispatcher, what: "connections to executors",
			formula: "listed x (1 - exp(-calls/s x 9 s / listed)), calls even over executors", along: Executors,
			mechanism: "the one idle for longest gives way (`Fleet.giveWay`): a handshake more", budget: sockets,
			budgetOf: ofProgram,
			value:    func(r *evaluation) float64 { return r.connections(r.CallsEach()*r.Busiest, r.Listed()) },
		},
	}
}

// tagSpecs are the rows of executors and functions that share a short tag.
func tagSpecs() []spec {
	return []spec{
		{
			role: dispatcher, what: "executors that share a 16-bit tag with another, pairs",
			formula: "n (n-1) / 2 / 2^16", along: Executors, budget: 1, budgetOf: ofYardstick,
			mechanism: noneYet + ": what is told of one counts for the other (`balancer.workerTag`)",
			value:     func(r *evaluation) float64 { return ExpectedCollisions(r.Listed(), 16) },
		},
		{
			role: dispatcher, what: "functions that share a 32-bit tag with another, pairs",
			formula: "n (n-1) / 2 / 2^32", along: Functions, budget: 1, budgetOf: ofYardstick,
			mechanism: noneYet + ": one row of the holder table for both (`balancer.functionTag`)",
			value:     func(r *evaluation) float64 { return ExpectedCollisions(r.Functions, 32) },
		},
	}
}

// fullListSpecs are the rows of a full endpoint list, which discovery sends in one line.
func fullListSpecs(base Case, consts programConstants) []spec {
	return []spec{
		{
			role: dispatcher, what: "whole list: the loop stands still for", unit: "s",
			formula:   "cpu.list.whole; budget: a housekeeping round, from which on it counts as having stood still",
			along:     Executors,
			mechanism: "`balancer.UpdateEndpoints`",
			budget:    base.LatencyObjective / consts.maintenanceRounds, budgetOf: ofProgram,
			value: func(r *evaluation) float64 { return 1e-9 * r.product("cpu.list.whole") },
		},
		{
			role: dispatcher, what: "whole list: its line", unit: "B",
			formula: "152 x listed; budget: the longest line that is read", along: Executors,
			mechanism: "`maxEventBytes` (`internal/platform/watch.go`); " +
				"a longer one ends the connection, again and again",
			budget: consts.maxEventBytes, budgetOf: ofProgram,
			value: func(r *evaluation) float64 { return executorBytes * r.Listed() },
		},
	}
}

// executorBytes is the size of an executor's entry in a list event, with a start time and the name
// of a zone. The rest of the line has 60 bytes.
const executorBytes = 152
