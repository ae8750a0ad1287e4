package capacity

// cpuSpecs returns the rows for the CPU time that a dispatcher spends on control work, as a
// fraction of a core. The measured slopes from which they are computed are in nanoseconds per call,
// message, list event or configuration change, and in nanoseconds per second for upkeep and
// writing.
func cpuSpecs(b Budgets) []spec {
	choice := func(r *evaluation) float64 {
		return 1e-9 * r.ChoiceIsControl * r.Busiest * r.CallsEach() * r.atSlope("cpu.choice", choiceSection)
	}
	fullScan := func(r *evaluation) float64 {
		return 1e-9 * r.ChoiceIsControl * r.Busiest * r.CallsEach() * r.atSlope("cpu.choice.before", choiceSection)
	}
	upkeep := func(r *evaluation) float64 {
		return 1e-9 * r.product("cpu.upkeep")
	}
	write := func(r *evaluation) float64 {
		return 1e-9 * r.product("cpu.write")
	}
	read := func(r *evaluation) float64 {
		return 1e-9 * r.sum("messages.in") * r.product("cpu.read")
	}
	list := func(r *evaluation) float64 {
		return 1e-9 * r.listRate() * r.product("cpu.list")
	}
	config := func(r *evaluation) float64 {
		return 1e-9 * r.Changes / 86400 * r.product("cpu.config")
	}
	row := func(what, formula string, along Dimension, mechanism string, value func(*evaluation) float64) spec {
		return spec{
			role: dispatcher, what: "processor time: " + what, unit: "of a core", formula: formula, along: along,
			mechanism: mechanism, budget: b.Core, budgetOf: ofLetter, value: value,
		}
	}
	fullScanRow := row("choices, the whole list walked and sorted", "calls/s of the busiest x cpu.choice.before",
		Executors,
		"replaced by candidates", fullScan)
	fullScanRow.obsolete = true
	return []spec{
		fullScanRow,
		row("choices", "calls/s of the busiest x cpu.choice", Executors,
			"candidates: believed holders, places by hash, a few drawn (`docs/design/choice.md`)", choice),
		row("upkeep", "cpu.upkeep", Fleet,
			"`balancer.runMaintenance`, every eighth of the shortest aim; `sweep` every eighth of the keep-alive",
			upkeep),
		row("words written", "cpu.write", Fleet, "`balancer.sendGossip`, `fillMessage`", write),
		row("words read", "messages.in x cpu.read", Fleet, "`balancer.HandlePeerMessage`", read),
		row("list events", "events/s x cpu.list", Executors, "`balancer.UpdateEndpoints`, changes alone", list),
		row("new configuration", "changes/s x cpu.config", Executors, "`AddClasses`, `SetMaxAttempts`", config),
		{
			role: dispatcher, what: "processor time: its busiest second", unit: "of a core", formula: "cpu.busiest",
			along:     Fleet,
			mechanism: "-", budget: 1, budgetOf: ofProgram, value: func(r *evaluation) float64 {
				return r.largestRun("cpu.busiest")
			},
		},
		row("all control together", "the six above", Fleet, "-", func(r *evaluation) float64 {
			return choice(r) + upkeep(r) + write(r) + read(r) + list(r) + config(r)
		}),
	}
}
