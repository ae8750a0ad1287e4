package soak

import (
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestScheduleFollowsFromItsSeed(t *testing.T) {
	drawn := map[Kind]bool{}
	for seed := range uint64(200) {
		schedule := Draw(seed, 10, nil)
		assert.Equal(t, schedule, Draw(seed, 10, nil))
		assert.GreaterOrEqual(t, len(schedule.Faults), 2)
		assert.NotEmpty(t, schedule.Pairs(), "no two troubles overlap, seed %d", seed)
		for _, fault := range schedule.Faults {
			drawn[fault.Kind] = true
			assert.LessOrEqual(t, fault.At+fault.For, schedule.FaultTime)
		}
		path := filepath.Join(t.TempDir(), "schedule.json")
		require.NoError(t, schedule.Write(path))
		read, err := ReadSchedule(path)
		require.NoError(t, err)
		assert.Equal(t, schedule, read)
	}
	for _, kind := range Kinds() {
		assert.True(t, drawn[kind], "%s is never drawn", kind)
	}
	only := Draw(1, 10, []Kind{Crash, Pause})
	for _, fault := range only.Faults {
		assert.Contains(t, []Kind{Crash, Pause}, fault.Kind)
	}
}

func TestInvalidInputIsRejected(t *testing.T) {
	_, err := ParseKinds("crash,storm")
	assert.ErrorContains(t, err, `"storm" is not known; known are`)
	kinds, err := ParseKinds(" crash, pause")
	require.NoError(t, err)
	assert.Equal(t, []Kind{Crash, Pause}, kinds)
	schedule := Draw(1, 4, nil)
	schedule.Faults = []Fault{{Kind: Crash, Targets: []int{4}}}
	path := filepath.Join(t.TempDir(), "schedule.json")
	require.NoError(t, schedule.Write(path))
	_, err = ReadSchedule(path)
	assert.ErrorContains(t, err, "crash has no target 4")
	for _, options := range []Options{
		{Seeds: 1, Processes: 41, Jobs: 1},
		{Seeds: 1, Processes: 40, Jobs: 7},
		{Seeds: 0, Processes: 1, Jobs: 1},
	} {
		_, err := Play(t.Context(), options)
		assert.ErrorIs(t, err, ErrTooLarge)
	}
}

func TestShortenLeavesWhatFails(t *testing.T) {
	schedule := Draw(3, 10, nil)
	schedule.Faults = append(schedule.Faults, Fault{Kind: Crash, For: time.Second},
		Fault{Kind: Pause, For: time.Second})
	short := schedule.Shorten(func(schedule Schedule) bool {
		crash, pause := false, false
		for _, fault := range schedule.Faults {
			crash = crash || fault.Kind == Crash
			pause = pause || fault.Kind == Pause
		}
		return crash && pause
	})
	assert.Len(t, short.Faults, 2)
}

// The oracle finds each breach in records that hold it, and none in those that do not.
func TestOracleFindsBreaches(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	clean := func() (Records, *Request, *Arrival) {
		request := &Request{
			ID: "a", Sent: at(100), SentAt: at(100), Timeout: time.Second, Ended: at(300), End: Answered,
			Status: http.StatusOK,
		}
		arrival := &Arrival{ID: "a", At: at(120), Budget: 900 * time.Millisecond, Ran: true}
		r := Records{
			Requests: []*Request{request}, Arrivals: []*Arrival{arrival}, Disturbed: make([][]span, 1),
			Uninformed: make([][]span, 1),
			Lives:      [][]Life{{{Begun: at(-500), Ready: at(-400), Ending: at(5000), Ended: at(6000)}}},
			Paused:     make([][]span, 1), Once: func(int) bool { return true }, Longest: 2 * time.Second,
			CalmFrom: at(4000), CalmTo: at(5000),
			Ration: Ration{Window: 5 * time.Second, Free: 1, Share: 0.1},
		}
		return r, request, arrival
	}
	r, _, _ := clean()
	require.Empty(t, FindViolations(r))
	for name, c := range map[string]struct {
		rule  Rule
		spoil func(r *Records, request *Request, arrival *Arrival)
	}{
		"closed on a new connection": {
			RuleAnswered,
			func(_ *Records, request *Request, _ *Arrival) { request.End = Closed },
		},
		"closed long after it was sent": {RuleAnswered, func(r *Records, request *Request, _ *Arrival) {
			request.End, request.Reused, request.Ended, r.Arrivals = Closed, true, at(800), nil
		}},
		"taken, then closed": {RuleAnswered, func(_ *Records, request *Request, _ *Arrival) {
			request.End, request.Reused = Closed,
				true
		}},
		"overdue": {RuleAnswered, func(_ *Records, request *Request, _ *Arrival) { request.End = Overdue }},
		"refused connection": {RuleAnswered, func(r *Records, request *Request, _ *Arrival) {
			request.End, request.Err,
				r.Arrivals = NotSent, "refused", nil
		}},
		"closed while stopped": {RuleAnswered, func(r *Records, request *Request, _ *Arrival) {
			request.End,
				r.Paused[0] = Closed, []span{{at(0), at(400)}}
		}},
		"two answers":      {RuleOneAnswer, func(_ *Records, request *Request, _ *Arrival) { request.Second = true }},
		"another's answer": {RuleTrue, func(_ *Records, request *Request, _ *Arrival) { request.Wrong = true }},
		"ran twice": {RuleOnce, func(r *Records, _ *Request,
			arrival *Arrival,
		) {
			r.Arrivals = append(r.Arrivals, arrival)
		}},
		"refused and ran": {RuleRefusal, func(_ *Records, request *Request,
			_ *Arrival,
		) {
			request.Status = http.StatusServiceUnavailable
		}},
		"begun for one that left": {RuleLeft, func(_ *Records, request *Request, arrival *Arrival) {
			request.End, request.LeftAt, arrival.At = Left,
				at(110), at(400)
		}},
		"told too much": {RuleBudget, func(_ *Records, _ *Request,
			arrival *Arrival,
		) {
			arrival.Budget = 1200 * time.Millisecond
		}},
		"sent to one that drains": {RuleDrain, func(r *Records, _ *Request, arrival *Arrival) {
			arrival.At, r.Drains = at(900), []Drain{{0, span{at(0), at(2000)}}}
		}},
		"load order to one that drains": {RuleDrain, func(r *Records, _ *Request, _ *Arrival) {
			r.Orders, r.Drains = []LoadOrder{{At: at(900)}}, []Drain{{0, span{at(0), at(2000)}}}
		}},
		"sent to one that drains, told by the clock": {RuleDrain, func(r *Records, _ *Request, _ *Arrival) {
			r.Uninformed[0], r.Drains = []span{{at(-9000), at(900)}}, []Drain{{0, span{at(-8000), at(2000)}}}
		}},
		"asked late on a kept connection, and killed": {RuleAnswered, func(r *Records, request *Request, _ *Arrival) {
			request.End, request.Reused, request.Ended = Closed, true, at(900)
			r.Lives[0][0].Ending, r.Lives[0][0].Killed, r.Lives[0][0].Ended = at(-800), at(850), at(860)
		}},
		"too many orders": {RuleRation, func(r *Records, _ *Request,
			_ *Arrival,
		) {
			r.Orders = make([]LoadOrder, 4)
			spread(r.Orders, at(200))
		}},
		"ended by itself": {RuleProcess, func(r *Records, _ *Request,
			_ *Arrival,
		) {
			r.Lives[0][0].Ending = time.Time{}
		}},
		"ended badly": {RuleProcess, func(r *Records, _ *Request,
			_ *Arrival,
		) {
			r.Lives[0][0].Failure = "exit status 2"
		}},
		"never ended": {RuleProcess, func(r *Records, _ *Request, _ *Arrival) { r.Lives[0][0].Ended = at(9000) }},
		"never ready": {RuleReady, func(r *Records, _ *Request, _ *Arrival) { r.Lives[0][0].Ready = at(20_000) }},
		"does not serve any more": {RuleRecovers, func(r *Records, _ *Request, _ *Arrival) {
			for range 4 {
				r.Requests = append(r.Requests, &Request{
					ID: "b", Sent: at(4100), SentAt: at(4100), Ended: at(4200),
					End: Answered, Status: 503,
				})
			}
		}},
	} {
		r, request, arrival := clean()
		c.spoil(&r, request, arrival)
		found := FindViolations(r)
		require.NotEmpty(t, found, name)
		assert.Equal(t, c.rule, found[0].Rule, "%s: %v", name, found)
	}
	for name, excuse := range map[string]func(r *Records, request *Request){
		"it crossed the close of an idle connection": func(r *Records, request *Request) {
			request.End, request.Reused, r.Arrivals,
				request.Ended = Closed, true, nil, at(110)
		},
		"its process was killed": func(r *Records, request *Request) {
			request.End,
				r.Lives[0][0].Killed = Closed, at(200)
		},
		"it came long after SIGTERM, on a new connection": func(r *Records, request *Request) {
			request.End, r.Lives[0][0].Ending, r.Lives[0][0].Ended = Closed, at(-800), at(1000)
		},
		"it came in time, and SIGKILL found it unanswered": func(r *Records, request *Request) {
			request.End, request.Reused, r.Lives[0][0].Ending = Closed, true, at(-100)
			r.Lives[0][0].Killed, r.Lives[0][0].Ended = at(200), at(210)
		},
		"discovery had not told": func(r *Records, _ *Request) {
			r.Uninformed[0], r.Drains = []span{{at(-9000), at(900)}}, []Drain{{0, span{at(-6000), at(2000)}}}
		},
		"its process was stopped": func(r *Records, request *Request) {
			request.End, r.Paused[0] = Overdue,
				[]span{{at(0), at(400)}}
		},
	} {
		r, request, _ := clean()
		excuse(&r, request)
		assert.Empty(t, FindViolations(r), name)
	}
}

// spread has orders of node 0 come one millisecond after the other.
func spread(orders []LoadOrder, from time.Time) {
	for i := range orders {
		orders[i].At = from.Add(time.Duration(i) * time.Millisecond)
	}
}
