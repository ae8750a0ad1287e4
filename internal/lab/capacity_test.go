package lab

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// tinyPlan returns the plan of the complete experiment with small sizes.
func tinyPlan() capacityPlan {
	p := capacityPlan{
		seeds: []uint64{1}, choiceSizes: []int{20, 60},
		base: HollowSize{
			Dispatchers: 6, Executors: 20, Functions: 200, Calls: 5, ListEvents: 1,
			Span: 2 * time.Second,
		},
		choice: HollowSize{Dispatchers: 3, Functions: 2_000, Calls: 5, Span: time.Second},
		largest: HollowSize{
			Dispatchers: 50, Executors: 60, Functions: 2_000, Calls: 5, ListEvents: 1,
			Span: 2 * time.Second,
		},
	}
	p.dim("dispatchers", 3, 6, 12, 20, 30)
	p.dim("executors", 10, 20, 40, 60, 100)
	p.dim("functions", 100, 200, 400, 1_000, 2_000)
	p.dim("list", 30, 60, 120, 200, 300)
	p.dim("calls", 2, 5, 10, 15, 20)
	return p
}

// lines collects the log lines of a run.
type lines []string

func (l *lines) log(f string, args ...any) { *l = append(*l, fmt.Sprintf(f, args...)) }

// index returns the index of the first line that contains all parts; -1 if there is none.
func (l lines) index(parts ...string) int {
next:
	for i, line := range l {
		for _, p := range parts {
			if !strings.Contains(line, p) {
				continue next
			}
		}
		return i
	}
	return -1
}

// Runs the complete experiment with hollow dispatchers. Only counts and bytes are asserted, since
// times depend on the machine.
func TestCapacity(t *testing.T) {
	dir, log, plan := t.TempDir(), lines{}, tinyPlan()
	began := time.Now()
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Plots: dir, Log: log.log}, plan, HollowRun)
	require.NoError(t, err)
	assert.Empty(t, rep.Partial)
	c := rep.Detail.(*Capacity)
	assert.Len(t, c.Runs, 21+4+1, "the base's run is one of each dimension")
	slopes := map[string]*CapacitySlope{}
	for _, slope := range append(c.Slopes, c.Largest...) {
		slopes[slope.Size+" "+slope.Name] = slope
		if slope.Prediction == nil {
			assert.NotEmpty(t, slope.Fault, "%s over %s", slope.Name, slope.Size)
			continue
		}
		assert.False(t, slope.Prediction.At.Before(began))
		assert.False(t, math.IsNaN(float64(slope.Prediction.Measured)), "%s over %s was not compared with a run",
			slope.Name, slope.Size)
	}
	assert.Len(t, slopes, 5*len(capacityFigures())+2+len(capacityFigures()))
	for _, run := range c.Runs {
		f, what := run.Figures, fmt.Sprint(run.Section, run.Size)
		assert.Zero(t, f["texts.oversize"], what)
		assert.Zero(t, f["twice"], what)
		assert.Zero(t, f["open"], what)
		assert.Equal(t, f["bytes.in"]+f["bytes.out"], f["bytes"], what)
		assert.InDelta(t, f["bytes.out"], f["bytes.in"], 0.1*f["bytes.out"]+20, "%s: what is sent comes, but for few",
			what)
		assert.LessOrEqual(t, f["bytes.in"], 256*f["messages.in"], what)
		assert.Less(t, f["heap"], 2e6, what)
		assert.GreaterOrEqual(t, f["collector.in.busiest"]+f["collector.out.busiest"], 0.0, what)
	}
	heap := slopes["executors heap"]
	require.NotNil(t, heap.Fit)
	assert.Greater(t, heap.Fit.At(100), 1.5*heap.Fit.At(10), "a list is held by each: %s", heap)
	assert.Equal(t, "bytes", slopes["dispatchers bytes"].Name)
	for _, b := range []string{
		"choice, 20 executors: worth less that of the whole walk",
		"as foretold, largest, counts and bytes", "as foretold, words, processor time",
	} {
		assert.Condition(t, func() bool {
			for _, x := range rep.Bounds {
				if strings.HasPrefix(x.Name, b) {
					return true
				}
			}
			return false
		}, "no bound %q", b)
	}
	for _, name := range []string{"capacity-choice.svg", "capacity-bytes.svg", "capacity-heap.svg"} {
		assert.FileExists(t, filepath.Join(dir, name))
	}
	raw, err := os.Open(filepath.Join(dir, capacityCSV))
	require.NoError(t, err)
	defer raw.Close()
	table, err := csv.NewReader(raw).ReadAll()
	require.NoError(t, err)
	figures := 0
	for _, run := range c.Runs {
		figures += len(run.Figures)
	}
	assert.Len(t, table, 1+figures)
	var text strings.Builder
	rep.Print(&text)
	for _, want := range []string{
		"over words/s that come to each dispatcher", "over calls/s at each dispatcher",
		"budget used up at", "largest, 50 dispatchers",
	} {
		assert.Contains(t, text.String(), want)
	}
	_, err = json.Marshal(rep)
	assert.NoError(t, err)

	// All figures except times and memory repeat with the seed.
	again, err := HollowRun(t.Context(), plan.base, 1)
	require.NoError(t, err)
	for _, run := range c.Runs {
		if run.Size != plan.base {
			continue
		}
		for _, name := range []string{
			"bytes.in", "bytes.out", "messages.in", "messages.out", "collector.in.busiest",
			"collector.out.busiest", "worth", "loads",
		} {
			assert.Equal(t, run.Figures[name], again.Figures[name], name)
		}
	}
}

// fakeWorld computes figures by formulas; extra times the square of the workers is added to the
// heap.
func fakeWorld(extra float64, observed func(HollowSize)) hollowRunner {
	return func(_ context.Context, s HollowSize, seed uint64) (*HollowResult, error) {
		if observed != nil {
			observed(s)
		}
		d, e := float64(s.Dispatchers), float64(s.Executors)
		return &HollowResult{Figures: map[string]float64{
			"heap": 1e5 + 200*d + 5000*e + 3*float64(s.Functions) + extra*e*e, "cpu.choice": (100 + 20*e) * (1 + d/100),
			"bytes.in": 100 + 2*d + s.Calls, "bytes.out": 100 + s.Calls, "messages.in": 2 + s.Calls, "cpu.read": 1000,
			"cpu.write": 500 * (2 + s.Calls), "worth": 1,
		}}, nil
	}
}

// Each prediction is logged before the first run of the size that it predicts, and holds if the
// figures follow the fits.
func TestCapacityPredictsBeforeRuns(t *testing.T) {
	log, plan := lines{}, tinyPlan()
	first := map[HollowSize]int{} // number of log lines at the first run of a size
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Log: log.log}, plan, fakeWorld(0, func(s HollowSize) {
		if _, ok := first[s]; !ok {
			first[s] = len(log)
		}
	}))
	require.NoError(t, err)
	for _, d := range plan.dims {
		size, most := plan.base, d.sizes[len(d.sizes)-1]
		d.set(&size, most)
		predicted := log.index(fmt.Sprintf("foretold at %g %s: heap", most, d.name))
		require.GreaterOrEqual(t, predicted, 0, d.name)
		assert.Less(t, predicted, first[size], d.name)
		if d.name == "calls" {
			messages := log.index("foretold at the most words: cpu.reading")
			require.GreaterOrEqual(t, messages, 0)
			assert.Less(t, messages, first[size])
		}
	}
	predicted := log.index("foretold at 50 dispatchers, 60 executors", "heap")
	require.GreaterOrEqual(t, predicted, 0)
	assert.Less(t, predicted, first[plan.largest])
	assert.Zero(t, rep.BrokenBounds(), "%+v", rep.Bounds)
	c := rep.Detail.(*Capacity)
	for _, slope := range c.Slopes {
		if slope.Size == "executors" && slope.Name == "heap" {
			assert.InEpsilon(t, (budgetHeap-1e5-200*6-3*200)/5000, float64(slope.BudgetSize), 0.05,
				"the budget is used up there")
		}
	}
	for _, slope := range c.Largest {
		if slope.Name == "cpu.choice" {
			assert.InEpsilon(t, (100+20*60.0)*1.5, float64(slope.Prediction.Y), 0.05, "a product of two slopes")
		}
	}
}

// Figures that differ from the predictions of the small sizes break their bounds.
func TestCapacityPredictionsCanFail(t *testing.T) {
	log, plan := lines{}, tinyPlan()
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Log: log.log, Only: "executors,largest"}, plan,
		func(ctx context.Context, s HollowSize, seed uint64) (*HollowResult, error) {
			if s.Executors == 100 || s.Dispatchers == 50 {
				return fakeWorld(100, nil)(ctx, s, seed)
			}
			return fakeWorld(0, nil)(ctx, s, seed)
		})
	require.NoError(t, err)
	broken := 0
	for _, b := range rep.Bounds {
		if strings.Contains(b.Name, "executors, counts and bytes") || strings.Contains(b.Name,
			"largest, counts and bytes") {
			assert.Equal(t, Figure(1), b.Figure, b.Name)
			assert.False(t, b.Holds, b.Name)
			broken++
		}
	}
	assert.Equal(t, 2, broken)
	assert.Equal(t, -1, log.index("choice:"), "only what was asked for, and the slopes that it needs")
}

// The fleet with the required calls is predicted before it is run, from all slopes including calls,
// and its prediction can fail. Each Zipf exponent is run with each seed and reported.
func TestCapacityLetterAndZipf(t *testing.T) {
	plan := tinyPlan()
	plan.seeds = []uint64{1, 2}
	plan.letter = plan.largest
	plan.letter.Calls, plan.letter.WarmCalls = 40, 5
	plan.zipf, plan.exponents = plan.choice, []float64{0, 1}
	plan.zipf.Executors = 20
	for name, extra := range map[string]float64{"as the fits have it": 0, "otherwise": 100} {
		log, first, zipfs := lines{}, -1, 0
		rep, err := runCapacity(t.Context(), Options{Seed: 1, Log: log.log, Only: "letter,zipf"}, plan,
			func(ctx context.Context, s HollowSize, seed uint64) (*HollowResult, error) {
				if s == plan.letter {
					first = len(log)
					return fakeWorld(extra, nil)(ctx, s, seed)
				}
				if s.Functions == plan.zipf.Functions && s.Dispatchers == plan.zipf.Dispatchers {
					zipfs++
					return &HollowResult{Figures: map[string]float64{"loads": 1 - s.Zipf/2, "twice": s.Zipf}}, nil
				}
				return fakeWorld(0, nil)(ctx, s, seed)
			})
		require.NoError(t, err)
		assert.Equal(t, 4, zipfs)
		predicted := log.index("foretold at 50 dispatchers, 60 executors, 2000 functions at 40 calls/s: heap")
		require.GreaterOrEqual(t, predicted, 0, name)
		assert.Less(t, predicted, first)
		bounds := map[string]Bound{}
		for _, b := range rep.Bounds {
			bounds[b.Name] = b
		}
		for _, slope := range rep.Detail.(*Capacity).Largest {
			require.Equal(t, letterSection, slope.Size)
			if slope.Name == "messages.in" {
				assert.InEpsilon(t, 2+40.0, float64(slope.Prediction.Y), 0.05, "calls are part of it")
			}
			if slope.Name == "heap" {
				assert.Equal(t, extra == 0, slope.Prediction.Holds, "%s: %+v", name, slope.Prediction)
			}
		}
		zero, one := bounds["zipf, exponent 0, seed 2: path-books twice, late sends, boxes pushed over, calls "+
			"without an end"],
			bounds["zipf, exponent 1, seed 2: path-books twice, late sends, boxes pushed over, calls without an end"]
		assert.Equal(t, []any{true, false}, []any{zero.Holds, one.Holds}, "a broken rule breaks its bound")
		shown := map[string]Figure{}
		for _, r := range rep.Rows {
			shown[r.Name] = r.Values[1]
		}
		assert.Equal(t, []Figure{1, 0.5}, []Figure{shown["zipf, exponent 0: loads"], shown["zipf, exponent 1: loads"]})
	}
	full := planCapacity(Options{Seed: 7})
	assert.Equal(t, []uint64{7, 8, 9}, full.seeds)
	assert.Equal(t, []any{1_900, 200.0}, []any{full.letter.Dispatchers, full.letter.Calls})
	assert.GreaterOrEqual(t, full.faults.Dispatchers, 1_000)
	for _, name := range []string{letterSection, zipfSection, faultsSection} {
		assert.Contains(t, full.names(), name)
	}
}

// A run that fails or is cancelled ends the experiment and keeps the results so far, marked
// partial.
func TestCapacityBrokenOff(t *testing.T) {
	dir, runs, fault := t.TempDir(), 0, errors.New("hollow run: too little memory: 6 dispatchers took 9 GB")
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Plots: dir, Log: func(string, ...any) {}}, tinyPlan(),
		func(ctx context.Context, s HollowSize, seed uint64) (*HollowResult, error) {
			if runs++; runs == 8 {
				return &HollowResult{Figures: map[string]float64{"heap": 1}, Partial: fault.Error()}, fault
			}
			return fakeWorld(0, nil)(ctx, s, seed)
		})
	require.ErrorIs(t, err, fault)
	assert.Equal(t, 8, runs, "nothing is run after it")
	assert.Equal(t, err.Error(), rep.Partial)
	assert.NotContains(t, err.Error(), "\n")
	assert.Contains(t, err.Error(), "broken off in executors: 6 dispatchers, 60 executors")
	c := rep.Detail.(*Capacity)
	require.Len(t, c.Runs, 8)
	assert.Equal(t, fault.Error(), c.Runs[7].Partial)
	var text strings.Builder
	rep.Print(&text)
	assert.Contains(t, text.String(), "over dispatchers")
	assert.Contains(t, text.String(), "\nPARTIAL: capacity: broken off")
	table, err := os.ReadFile(filepath.Join(dir, capacityCSV))
	require.NoError(t, err)
	assert.Contains(t, string(table), "took 9 GB,heap,1\n")

	ctx, stop := context.WithCancel(t.Context())
	stop()
	rep, err = runCapacity(ctx, Options{Seed: 1, Log: func(string, ...any) {}}, tinyPlan(), HollowRun)
	require.ErrorIs(t, err, context.Canceled)
	assert.NotEmpty(t, rep.Partial)
}

func TestCapacityPicksDimensions(t *testing.T) {
	plan := tinyPlan()
	_, err := runCapacity(t.Context(), Options{Only: "executors,boxes"}, plan, nil)
	assert.EqualError(t, err,
		`capacity: unknown dimension or section "boxes"; there are dispatchers, executors, functions, list, calls, `+
			`words, choice, largest`)
	for _, quick := range []bool{false, true} {
		p := planCapacity(Options{Quick: quick, Seed: 1})
		for _, d := range p.dims {
			assert.GreaterOrEqual(t, len(d.sizes), 5, d.name)
			assert.GreaterOrEqual(t, d.sizes[len(d.sizes)-1]/d.sizes[0], 10.0, d.name)
			assert.IsIncreasing(t, d.sizes, d.name)
			assert.Contains(t, d.sizes, d.of(p.base), "%s: the base is one of its sizes", d.name)
		}
		assert.Equal(t, []any{p.base.Calls, p.base.ListEvents}, []any{p.largest.Calls, p.largest.ListEvents})
	}
	rep, err := runCapacity(t.Context(), Options{Seed: 1, Only: "words", Log: func(string, ...any) {}}, plan,
		fakeWorld(0, nil))
	require.NoError(t, err)
	c := rep.Detail.(*Capacity)
	assert.Equal(t, []string{"cpu.reading", "cpu.write"},
		[]string{c.Slopes[len(c.Slopes)-2].Name, c.Slopes[len(c.Slopes)-1].Name})
	for _, run := range c.Runs {
		assert.Contains(t, []string{"dispatchers", "calls"}, run.Section)
	}
}
