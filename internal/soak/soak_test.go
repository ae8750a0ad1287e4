package soak

import (
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestScheduleIsDeterminedBySeed(t *testing.T) {
	drawn := map[Kind]bool{}
	for seed := range uint64(200) {
		schedule := Draw(seed, 10, nil)
		assert.Equal(t, schedule, Draw(seed, 10, nil))
		assert.GreaterOrEqual(t, len(schedule.Faults), 2)
		assert.NotEmpty(t, schedule.Pairs(), "no two faults overlap, seed %d", seed)
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
		_, err := RunCampaign(t.Context(), options)
		assert.ErrorIs(t, err, ErrTooLarge)
	}
}

func TestShortenKeepsFailingFaults(t *testing.T) {
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

// The oracle finds each violation in records that contain it, and none in records that do not.
func TestOracleFindsViolations(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	clean := func() (Records, *Request, *Arrival) {
		request := &Request{
			ID: "a", SendStart: at(100), SendEnd: at(100), Timeout: time.Second, Ended: at(300), End: Answered,
			Status: http.StatusOK,
		}
		arrival := &Arrival{ID: "a", At: at(120), Budget: 900 * time.Millisecond, Ran: true}
		r := Records{
			Requests: []*Request{request}, Arrivals: []*Arrival{arrival}, Disturbed: make([][]span, 1),
			Uninformed:   make([][]span, 1),
			Incarnations: [][]Incarnation{{{Started: at(-500), Ready: at(-400), TermSent: at(5000), Ended: at(6000)}}},
			Paused:       make([][]span, 1), AtMostOnce: func(int) bool { return true }, Longest: 2 * time.Second,
			CalmFrom: at(4000), CalmTo: at(5000),
			LoadQuota: LoadQuota{Window: 5 * time.Second, Free: 1, Share: 0.1},
		}
		return r, request, arrival
	}
	r, _, _ := clean()
	require.Empty(t, FindViolations(r))
	for name, c := range map[string]struct {
		rule    Rule
		corrupt func(r *Records, request *Request, arrival *Arrival)
	}{
		"closed on a new connection": {
			RuleAnswered,
			func(_ *Records, request *Request, _ *Arrival) { request.End = Closed },
		},
		"closed long after it was sent": {RuleAnswered, func(r *Records, request *Request, _ *Arrival) {
			request.End, request.Reused, request.Ended, r.Arrivals = Closed, true, at(800), nil
		}},
		"accepted, then closed": {RuleAnswered, func(_ *Records, request *Request, _ *Arrival) {
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
		"two answers": {RuleOneAnswer, func(_ *Records, request *Request, _ *Arrival) {
			request.SecondAnswer = true
		}},
		"answer of another request": {RuleCorrectAnswer, func(_ *Records, request *Request, _ *Arrival) {
			request.WrongBody = true
		}},
		"answer of another request, beside a late duplicate": {
			RuleCorrectAnswer,
			func(r *Records, request *Request, _ *Arrival) {
				request.WrongBody, request.Body, r.LateDuplicates = true, "b", []string{"c"}
			},
		},
		"ran twice": {RuleAtMostOnce, func(r *Records, _ *Request,
			arrival *Arrival,
		) {
			r.Arrivals = append(r.Arrivals, arrival)
		}},
		"refused and ran": {RuleRefusal, func(_ *Records, request *Request,
			_ *Arrival,
		) {
			request.Status = http.StatusServiceUnavailable
		}},
		"attempt started after the client left": {RuleLeft, func(_ *Records, request *Request, arrival *Arrival) {
			request.End, request.LeftAt, arrival.At = Left,
				at(110), at(400)
		}},
		"budget above the time left": {RuleBudget, func(_ *Records, _ *Request,
			arrival *Arrival,
		) {
			arrival.Budget = 1200 * time.Millisecond
		}},
		"call sent to a draining executor": {RuleDrain, func(r *Records, _ *Request, arrival *Arrival) {
			arrival.At, r.Drains = at(900), []Drain{{0, span{at(0), at(2000)}}}
		}},
		"load order to a draining executor": {RuleDrain, func(r *Records, _ *Request, _ *Arrival) {
			r.Orders, r.Drains = []LoadOrder{{At: at(900)}}, []Drain{{0, span{at(0), at(2000)}}}
		}},
		"call sent to a draining executor, notice overdue": {RuleDrain, func(r *Records, _ *Request, _ *Arrival) {
			r.Uninformed[0], r.Drains = []span{{at(-9000), at(900)}}, []Drain{{0, span{at(-8000), at(2000)}}}
		}},
		"late request on a kept connection, killed": {RuleAnswered, func(r *Records, request *Request, _ *Arrival) {
			request.End, request.Reused, request.Ended = Closed, true, at(900)
			r.Incarnations[0][0].TermSent, r.Incarnations[0][0].Killed,
				r.Incarnations[0][0].Ended = at(-800), at(850), at(860)
		}},
		"too many load orders": {RuleLoadQuota, func(r *Records, _ *Request,
			_ *Arrival,
		) {
			r.Orders = make([]LoadOrder, 4)
			spaceOut(r.Orders, at(200))
		}},
		"exited by itself": {RuleProcess, func(r *Records, _ *Request,
			_ *Arrival,
		) {
			r.Incarnations[0][0].TermSent = time.Time{}
		}},
		"exited with an error": {RuleProcess, func(r *Records, _ *Request,
			_ *Arrival,
		) {
			r.Incarnations[0][0].Failure = "exit status 2"
		}},
		"ended too late": {RuleProcess, func(r *Records, _ *Request, _ *Arrival) {
			r.Incarnations[0][0].Ended = at(9000)
		}},
		"ready too late": {RuleReady, func(r *Records, _ *Request, _ *Arrival) {
			r.Incarnations[0][0].Ready = at(20_000)
		}},
		"no recovery after the faults": {RuleRecovers, func(r *Records, _ *Request, _ *Arrival) {
			for range 4 {
				r.Requests = append(r.Requests, &Request{
					ID: "b", SendStart: at(4100), SendEnd: at(4100), Ended: at(4200),
					End: Answered, Status: 503,
				})
			}
		}},
	} {
		r, request, arrival := clean()
		c.corrupt(&r, request, arrival)
		found := FindViolations(r)
		require.NotEmpty(t, found, name)
		assert.Equal(t, c.rule, found[0].Rule, "%s: %v", name, found)
	}
	for name, allow := range map[string]func(r *Records, request *Request){
		"its executor sent a duplicate too late": func(r *Records, request *Request) {
			request.WrongBody, request.Body, r.LateDuplicates = true, "b", []string{"b"}
		},
		"it raced with the close of an idle connection": func(r *Records, request *Request) {
			request.End, request.Reused, r.Arrivals,
				request.Ended = Closed, true, nil, at(110)
		},
		"its process was killed": func(r *Records, request *Request) {
			request.End,
				r.Incarnations[0][0].Killed = Closed, at(200)
		},
		"it was sent long after SIGTERM, on a new connection": func(r *Records, request *Request) {
			request.End, r.Incarnations[0][0].TermSent, r.Incarnations[0][0].Ended = Closed, at(-800), at(1000)
		},
		"it was sent in time, but unanswered at SIGKILL": func(r *Records, request *Request) {
			request.End, request.Reused, r.Incarnations[0][0].TermSent = Closed, true, at(-100)
			r.Incarnations[0][0].Killed, r.Incarnations[0][0].Ended = at(200), at(210)
		},
		"discovery had not announced the drain": func(r *Records, _ *Request) {
			r.Uninformed[0], r.Drains = []span{{at(-9000), at(900)}}, []Drain{{0, span{at(-6000), at(2000)}}}
		},
		"its process was stopped": func(r *Records, request *Request) {
			request.End, r.Paused[0] = Overdue,
				[]span{{at(0), at(400)}}
		},
	} {
		r, request, _ := clean()
		allow(&r, request)
		assert.Empty(t, FindViolations(r), name)
	}
}

// spaceOut sets the times of load orders one millisecond apart.
func spaceOut(orders []LoadOrder, from time.Time) {
	for i := range orders {
		orders[i].At = from.Add(time.Duration(i) * time.Millisecond)
	}
}
