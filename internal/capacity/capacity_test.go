package capacity

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// line is a straight line as a Curve.
type line struct{ a, b float64 }

func (l line) At(x float64) float64 { return l.a + l.b*x }

func slope(a, b, base float64) Slope {
	return Slope{Curve: line{a, b}, Base: base, Spread: 0.1, Command: "testbed run capacity"}
}

// allSlopes returns a slope for every name that a row needs.
func allSlopes() Slopes {
	s := Slopes{}
	for {
		n := len(s)
		for _, r := range Rows(OperatorPlan(), OperatorBudgets(), s) {
			for _, name := range append(r.MissingSlopes, r.Slopes...) {
				s[name] = slope(10, 0.5, 100)
			}
		}
		if len(s) == n {
			return s
		}
	}
}

func find(t *testing.T, rows []Row, role, what string) Row {
	t.Helper()
	for _, r := range rows {
		if r.Role == role && r.What == what {
			return r
		}
	}
	require.Fail(t, "no such row", "%s: %s", role, what)
	return Row{}
}

// constants returns the constants of a package's non-test files by name, each with the source text
// of its value. A name declared in two files fails the test.
func constants(t *testing.T, folder string) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	require.NoError(t, err)
	values := map[string]string{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for name, value := range constantsOfFile(t, path) {
			assert.NotContains(t, values, name, "%s: declared twice", path)
			values[name] = value
		}
	}
	return values
}

func constantsOfFile(t *testing.T, path string) map[string]string {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	require.NoError(t, err)
	values := map[string]string{}
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			constant := spec.(*ast.ValueSpec)
			for i, value := range constant.Values {
				var text strings.Builder
				require.NoError(t, printer.Fprint(&text, files, value))
				if name := constant.Names[i].Name; name != "_" {
					values[name] = text.String()
				}
			}
		}
	}
	return values
}

// Guards against a constant of another package that changes without the copy in this package, which
// the figures of the page are computed from.
func TestConstantsMatchTheSources(t *testing.T) {
	consts := newProgramConstants()
	for _, c := range []struct {
		folder, name, source string
		value, want          float64
	}{
		{"../../aggregate", "maxTextBytes", "190", consts.maxTextBytes, 190},
		{"../../aggregate", "maxMarks", "12", consts.maxMarks, 12},
		{"../../aggregate", "maxValues", "15", maxFigures, 15},
		{"../platform", "maxDatagramBytes", "256", consts.maxDatagramBytes, 256},
		{"../platform", "sendQueueLength", "256", consts.sendQueueLength, 256},
		{"../platform", "maxEventBytes", "4 << 20", consts.maxEventBytes, 4 << 20},
		{"../platform", "watchReadTimeout", "2 * time.Second", consts.watchReadTimeout, 2},
		{"../platform", "watchDialTimeout", "time.Second", consts.watchDialTimeout, 1},
		{"../platform", "maxWatchRetryDelay", "400 * time.Millisecond", consts.maxWatchRetryDelay, 0.4},
		{"../platform", "idleTimeoutRatio", "0.6", consts.idleTimeoutRatio, 0.6},
		{"../daemon", "reservedSockets", "20", consts.reservedSockets, 20},
		{"../daemon", "spareClientDivisor", "16", consts.spareClientDivisor, 16},
		{"../daemon", "memoryLimitRatio", "0.7", consts.memoryLimitRatio, 0.7},
		{"../daemon", "gcPercent", "150", consts.gcPercent, 150},
		{"../..", "eventQueueSize", "1024", consts.eventQueueSize, 1024},
		{"../../balancer", "gossipCostShare", "0.005", consts.gossipCostShare, 0.005},
		{"../../balancer", "minMessagePrice", "0.002", consts.minMessagePrice, 0.002},
		{"../../balancer", "maxGossipBudget", "10.0", consts.maxGossipBudget, 10},
		{"../../balancer", "leaderTermObjectives", "2", consts.leaderTermObjectives, 2},
		{"../../balancer", "maintenanceRounds", "8", consts.maintenanceRounds, 8},
		{"../../balancer", "syncPeers", "3", consts.syncPeers, 3},
		{"../../balancer", "countsPerHolder", "8", consts.countsPerHolder, 8},
		{"../../outlier", "maxEjectionFactor", "8", consts.maxEjectionFactor, 8},
		{"../../endpoints", "defaultHealthCheckRate", "300", OperatorPlan().ProbeRate, 300},
	} {
		assert.Equal(t, c.source, constants(t, c.folder)[c.name], "%s in %s", c.name, c.folder)
		assert.InDelta(t, c.want, c.value, 1e-12, c.name)
	}
}

// The sizes assumed for a list event and for an executor in a full list match the platform's
// format.
func TestBytesOfAListEvent(t *testing.T) {
	member := func(addr, zone string, start int64) string {
		return fmt.Sprintf(`{"id":"s-00c41f7a","host_port":%q,"locality":%q,"flavor":"std","cell":2,`+
			`"phase":"Ready","size":4,"up_since_ms":%d}`,
			addr, zone, start)
	}
	event := func(m string) int {
		return len(fmt.Sprintf(`{"cursor":41,"nodes":{"revision":7,"complete":false,"members":[%s]}}`+"\n", m))
	}
	for _, a := range Assumptions() {
		if a.Name == "bytes of a list event" {
			assert.InDelta(t, event(member("10.1.0.9:9090", "east", 0)), a.Low, 4)
			assert.InDelta(t, event(member("10.1.200.19:9090", "north-room", 1764650000000)), a.Value, 8)
		}
	}
	assert.InDelta(t, len(member("10.1.200.19:9090", "north-room", 1764650000000)+","), executorBytes, 2)
}

func TestAssumptionsSpanTheirValue(t *testing.T) {
	for _, a := range Assumptions() {
		assert.LessOrEqual(t, a.Low, a.Value, a.Name)
		assert.LessOrEqual(t, a.Value, a.High, a.Name)
		assert.Less(t, a.Low, a.High, a.Name)
		assert.NotEmpty(t, a.Why, a.Name)
	}
	c := Base(OperatorPlan())
	assert.InDelta(t, 200, c.CallsEach(), 1e-9)
	assert.InDelta(t, 9600, c.Listed(), 1e-9)
	for _, d := range []Dimension{Fleet, Dispatchers} {
		assert.InDelta(t, 200, c.Scaled(d, 0.25).CallsEach(), 1e-9, "the calls of each dispatcher stay the same")
	}
	assert.InDelta(t, 50, c.Scaled(Calls, 0.25).CallsEach(), 1e-9)
}

// The values of selected rows and the sizes at which they use up their budgets match a calculation
// by hand.
func TestRowsMatchHandCalculation(t *testing.T) {
	s := allSlopes()
	s["cpu.choice/choice"] = slope(5000, 10, 600) // 101 us at 9,600
	for _, dim := range dimensions() {
		s["cpu.list/"+dim], s["heap/"+dim] = slope(100, 0, 1), slope(1e6, 0, 1)
	}
	// Over executors 1,000 at the base of 100 and 96,000 at 9,600; over functions 2 bytes more for each
	// beyond 4,000.
	s["cpu.list/executors"] = Slope{
		Curve: line{0, 10}, Base: 100, Spread: 0.2,
		Command: "testbed run capacity --only executors",
	}
	s["heap/executors"], s["heap/functions"] = slope(0, 1e4, 100), slope(992_000, 2, 4000)
	rows := Rows(OperatorPlan(), OperatorBudgets(), s)
	for _, c := range []struct {
		role, what        string
		want, usedUpAt    float64
		within            float64
		usedUpAtUnchecked bool
	}{
		{dispatcher, "processor time: choices", 400 * 101e-6, (0.045/400*1e9 - 5000) / 10 / 9600, 1e-9, true},
		{
			dispatcher, "processor time: list events", 1e-9 * (0.33 + 5100/86400.0) * (4*100 + 1000) / 5 * 96, 0, 1e-12,
			true,
		},
		{dispatcher, "memory: live heap", 1e6 + 95e6 + 2*44_000, 0, 1e-6, true},
		{dispatcher, "executors that share a 16-bit tag with another, pairs", 703.05, 362.54 / 9600, 0.01, false},
		{
			dispatcher, "functions that share a 32-bit tag with another, pairs", 0.26821,
			math.Sqrt(2*math.Exp2(32)) / 48_000, 1e-4, false,
		},
		{dispatcher, "connections to executors", 9600 * (1 - math.Exp(-400*9/9600.0)), 0, 1e-6, true},
		{dispatcher, "whole list: its line", 152 * 9600, 4 << 20 / 152.0 / 9600, 1e-6, false},
		{
			dispatcher, "command channel",
			(0.33+5100/86400.0)*220 + 8, (2000 - 8 - 0.33*220) / 220 * 86400 / 5100, 1e-6,
			true,
		},
		{collector, "price of a short digest, nobody missing", 0.021 * 1899 / 256 * 26, 0, 1e-6, true},
		{collector, "first text, one missing", 698, 577.0 / 1900, 1e-6, false},
		{executor, "calls", 380_000 / 9600.0, 0, 1e-9, true},
		{discovery, "burst of 20 changes in a second", 20 * 1900 * 220, 0, 1e-6, true},
		{letter, "a change of the list, in force everywhere", 6.4, 0, 1e-9, true},
		{letter, "48,000 functions: one dispatcher meets such a function every", 1900 * 120, 0, 1e-6, true},
		{letter, "48,000 functions: loads of these", 0.8 * 48_000 / 120 * math.Exp(-10.0/120), 0, 1e-9, true},
		{letter, "a zone gone: the rest bears more", 1.0 / 9, 0, 1e-9, true},
	} {
		r := find(t, rows, c.role, c.what)
		assert.InDelta(t, c.want, float64(r.Value), c.within, c.what)
		if !c.usedUpAtUnchecked {
			assert.InEpsilon(t, c.usedUpAt, float64(r.UsedUpAt), 0.004, c.what)
		}
		if !math.IsNaN(float64(r.Budget)) {
			assert.InDelta(t, float64(r.Budget)/float64(r.Value), float64(r.Headroom), 1e-9, c.what)
		}
	}
	choice := find(t, rows, dispatcher, "processor time: choices")
	assert.InEpsilon(t, (0.045/400*1e9-5000)/10/9600, float64(choice.UsedUpAt), 0.002)
	assert.Equal(t, []string{"cpu.choice/choice"}, choice.Slopes)
	list := find(t, rows, dispatcher, "processor time: list events")
	assert.Len(t, list.Slopes, 5)
	assert.Equal(t, "testbed run capacity, testbed run capacity --only executors", list.Command)
	assert.InDelta(t, 0.2, float64(list.Spread), 1e-9)
	assert.Zero(t, float64(choice.Low), "choices may not count as control")

	all := find(t, rows, dispatcher, "processor time: all control together")
	sum := 0.0
	for _, r := range rows {
		if r.Role == dispatcher && strings.HasPrefix(r.What,
			"processor time: ") && r.What != all.What && !r.Obsolete && r.Formula != "cpu.busiest" {
			sum += float64(r.Value)
		}
	}
	assert.InEpsilon(t, sum, float64(all.Value), 1e-9)
}

// At the planned rate of calls, nearly every call goes to a holder not known before, so the message
// budget limits the rate of reports. If all holders are known, maintenance rounds limit it to one
// every 50 ms.
func TestReportRateIsLimitedByPriceAndRounds(t *testing.T) {
	c := Base(OperatorPlan())
	for _, calls := range []float64{20, 200} {
		rate, p := c.reportRate(calls)
		assert.InDelta(t, 0.005*calls/(0.021/256*float64(p.Total)), rate, 1e-9)
		assert.InDelta(t, 0.005*calls*256/0.021, rate*float64(p.Total), 1e-6)
	}
	c.Functions = 100
	rate, p := c.reportRate(200)
	assert.InDelta(t, 20, rate, 1e-6)
	assert.Equal(t, 2, p.Texts)
}

// Rows over budget come first, then those within it, both by ascending headroom; then rows not
// measured, rows without a budget, and rows of mechanisms that the program no longer has. Exceeded
// orders its rows by the size at which they use up the budget, those over it at any size last.
func TestOrderOfRows(t *testing.T) {
	s := allSlopes()
	delete(s, "heap/executors")
	rows := Rows(OperatorPlan(), OperatorBudgets(), s)
	rank, head := -1, 0.0
	found := map[int]int{}
	for _, r := range rows {
		now := r.rank()
		require.GreaterOrEqual(t, now, rank, "%s: %s", r.Role, r.What)
		if now > rank {
			rank, head = now, 0
		}
		if now < 2 {
			require.GreaterOrEqual(t, float64(r.Headroom), head, "%s: %s", r.Role, r.What)
			require.Equal(t, now == 0, r.Over())
			head = float64(r.Headroom)
		}
		found[now]++
	}
	for i := range 5 {
		assert.NotZero(t, found[i], "rank %d", i)
	}
	exceeded := Exceeded(rows)
	at, ended := 0.0, false
	for _, r := range exceeded {
		require.True(t, r.Measured())
		require.LessOrEqual(t, float64(r.UsedUpAt), 1.0)
		if r.UsedUpAt == 0 {
			ended = true
			continue
		}
		require.False(t, ended, "rows over budget at any size come last")
		require.GreaterOrEqual(t, float64(r.UsedUpAt), at, r.What)
		at = float64(r.UsedUpAt)
	}
	assert.NotEmpty(t, exceeded)
}

// A row with a missing slope is "not measured" and never has a number, even if its other slopes are
// available.
func TestMissingSlopeIsNotMeasured(t *testing.T) {
	full := allSlopes()
	names := 0
	for _, none := range []Slopes{nil, {"cpu.choice/choice": {Base: 600, Command: "x"}}} {
		for _, r := range Rows(OperatorPlan(), OperatorBudgets(), none) {
			if len(r.MissingSlopes) == 0 {
				assert.True(t, r.Measured(), r.What)
				assert.Equal(t, arithmetic, r.Command, r.What)
				continue
			}
			names++
			assert.False(t, r.Measured(), r.What)
			assert.Empty(t, r.Command, r.What)
			for _, f := range []Figure{r.Value, r.Low, r.High, r.Headroom, r.UsedUpAt} {
				assert.True(t, math.IsNaN(float64(f)), r.What)
			}
			assert.Contains(t, r.value(), "not measured: ")
			raw, err := json.Marshal(r)
			require.NoError(t, err)
			assert.Contains(t, string(raw), `"value":null`)
		}
	}
	require.NotZero(t, names)
	for name := range full {
		less := Slopes{}
		for k, v := range full {
			if k != name {
				less[k] = v
			}
		}
		for _, r := range Rows(OperatorPlan(), OperatorBudgets(), less) {
			if len(r.MissingSlopes) > 0 {
				assert.False(t, r.Measured(), "%s without %s", r.What, name)
			}
			assert.NotContains(t, r.Slopes, name)
		}
	}
	few := Rows(OperatorPlan(), OperatorBudgets(), Slopes{"cpu.choice/choice": slope(1, 1, 1)})
	r := find(t, few, dispatcher, "processor time: all control together")
	assert.False(t, r.Measured())
	assert.Contains(t, r.MissingSlopes, "cpu.upkeep/executors")
}

func TestAssumptionsVariedSpanTheValue(t *testing.T) {
	varied := 0
	for _, r := range Rows(OperatorPlan(), OperatorBudgets(), allSlopes()) {
		require.True(t, r.Measured(), "%s: %s", r.Role, r.What)
		assert.LessOrEqual(t, float64(r.Low), float64(r.Value), r.What)
		assert.LessOrEqual(t, float64(r.Value), float64(r.High), r.What)
		if r.Low < r.High {
			varied++
		}
	}
	assert.Greater(t, varied, 20)
}

// At the size that UsedUpAt gives a row is over its budget, and slightly below it is not.
func TestUsedUpAtIsTheFirstCrossing(t *testing.T) {
	s, base, b := allSlopes(), Base(OperatorPlan()), OperatorBudgets()
	n := 0
	for _, x := range specs(base, b) {
		r := x.row(base, b, s)
		if math.IsNaN(x.budget) || r.UsedUpAt == 0 || math.IsInf(float64(r.UsedUpAt), 0) {
			continue
		}
		n++
		at := func(part float64) float64 {
			return x.value(&evaluation{Case: base.Scaled(x.along, part), budgets: b, slopes: s})
		}
		assert.Greater(t, at(float64(r.UsedUpAt)), x.budget, r.What)
		assert.LessOrEqual(t, at(float64(r.UsedUpAt)/1.002), x.budget, r.What)
	}
	assert.Greater(t, n, 10)
}

func TestWaitProbability(t *testing.T) {
	assert.InDelta(t, 0.3, WaitProbability(0.3, 1), 1e-12) // M/M/1: equal to the utilization
	assert.InDelta(t, 1.0/3, WaitProbability(1, 2), 1e-12) // M/M/2 at a utilization of one half
	assert.InDelta(t, 1, WaitProbability(4, 4.5), 1e-12)   // four whole slots, all busy
	assert.Less(t, WaitProbability(0.05, 4.5), 1e-6)
}

// The formula matches a simulation of calls at random that find a copy or load one.
func TestRareLoads(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, rate := range []float64{1.0 / 600, 1.0 / 60, 1.0 / 10} {
		missing, copies := RareLoads(rate, 10, 1.3)
		const n = 400_000
		misses, long, stood := 0, 0.0, 0.0
		for range n {
			gap := rng.ExpFloat64() / rate
			long += gap
			stood += min(gap, 10)
			if gap > 10 {
				misses++
				stood += 1.3
			}
		}
		assert.InEpsilon(t, float64(misses)/n, missing, 0.01)
		assert.InEpsilon(t, stood/long, copies, 0.01)
	}
}

func TestMarkdown(t *testing.T) {
	rows := Rows(OperatorPlan(), OperatorBudgets(), allSlopes())
	table := Markdown(rows)
	assert.Equal(t, len(rows)+2, strings.Count(table, "\n"))
	for _, l := range strings.Split(strings.TrimSpace(table), "\n") {
		assert.Equal(t, 10, strings.Count(l, "|"), l)
	}
	assert.NotContains(t, table, "NaN")
	assert.Contains(t, table, "| `testbed run capacity`: heap/*; spread 0.1 |")
	assert.Contains(t, table, "| `testbed run capacity`: cpu.read/*, messages.in/*; spread 0.1 |")
	assert.Equal(t, []string{"a/calls", "b/choice"}, groupSlopes([]string{"b/choice", "a/calls"}))
	assert.Equal(t, len(allSlopes())+2, strings.Count(MarkdownSlopes(allSlopes()), "\n"))
	assert.Equal(t, 2, strings.Count(MarkdownSlopes(Slopes{"x/calls": {}}), "\n"),
		"a slope without a curve is not listed")
	assert.Equal(t, len(Exceeded(rows))+2, strings.Count(MarkdownExceeded(rows), "\n"))
	assert.Equal(t, len(Assumptions())+2, strings.Count(MarkdownAssumptions(), "\n"))
	for _, c := range []struct {
		f    Figure
		want string
	}{
		{Figure(math.NaN()), "not measured"},
		{Figure(math.Inf(1)), "none"},
		{0.0451, "0.0451"},
		{1900, "1900"},
		{9600, "9600"},
		{230_000, "230 k"},
		{4.2e6, "4.2 M"},
		{2.77e9, "2.77 G"},
	} {
		assert.Equal(t, c.want, c.f.String())
	}
}

// docs/CAPACITY.md has the assumptions and every row that needs no run as the package computes
// them. bin/testbed run capacity prints them for the page.
func TestPageHasTheRowsThatNeedNoRun(t *testing.T) {
	raw, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	page := string(raw)
	assert.Contains(t, page, MarkdownAssumptions())
	checked := 0
	rows := Rows(OperatorPlan(), OperatorBudgets(), nil)
	for _, r := range rows {
		if r.Measured() {
			checked++
			line := strings.Split(Markdown([]Row{r}), "\n")[2]
			assert.Contains(t, page, line+"\n", "%s: %s", r.Role, r.What)
		}
	}
	assert.Greater(t, checked, 40)
	for _, r := range Exceeded(rows) {
		line := regexp.QuoteMeta(fmt.Sprintf("| %s | %s: %s |", r.usedUp(), r.Role, r.What))
		assert.Regexp(t, `(?m)^\| \d+ `+line, page)
	}
}
