package capacity

// cpuSpecs: processor time of a dispatcher for control, in parts of a core. Figures in ns (of a
// call, a message, an event), or ns a second for upkeep and writing.
func cpuSpecs(b Budgets) []spec {
	choice := func(r *reading) float64 {
		return 1e-9 * r.ChoiceIsControl * r.Busiest * r.CallsEach() * r.over("cpu.choice", overChoice)
	}
	was := func(r *reading) float64 {
		return 1e-9 * r.ChoiceIsControl * r.Busiest * r.CallsEach() * r.over("cpu.choice.before", overChoice)
	}
	upkeep := func(r *reading) float64 {
		return 1e-9 * r.step("cpu.upkeep")
	}
	write := func(r *reading) float64 {
		return 1e-9 * r.step("cpu.write")
	}
	read := func(r *reading) float64 {
		return 1e-9 * r.state("messages.in") * r.step("cpu.read")
	}
	list := func(r *reading) float64 {
		return 1e-9 * r.listRate() * r.step("cpu.list")
	}
	config := func(r *reading) float64 {
		return 1e-9 * r.Changes / 86400 * r.step("cpu.config")
	}
	row := func(what, formula string, along Dimension, mechanism string, of func(*reading) float64) spec {
		return spec{
			role: dispatcher, what: "processor time: " + what, unit: "of a core", formula: formula, along: along,
			mechanism: mechanism, budget: b.Core, budgetOf: ofLetter, of: of,
		}
	}
	before := row("choices, the whole list walked and sorted", "calls/s of the busiest x cpu.choice.before", Executors,
		"replaced by candidates", was)
	before.was = true
	return []spec{
		before,
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
			mechanism: "-", budget: 1, budgetOf: ofTheProgram, of: func(r *reading) float64 {
				return r.largest("cpu.busiest")
			},
		},
		row("all control together", "the six above", Fleet, "-", func(r *reading) float64 {
			return choice(r) + upkeep(r) + write(r) + read(r) + list(r) + config(r)
		}),
	}
}
