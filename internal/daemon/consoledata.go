package daemon

import (
	"context"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/adminapi"
	"oakthread/internal/platform"
)

// figures gathers what the console tells beside the classes; the core's part waits no longer than ctx.
func figures(ctx context.Context, core *oakthread.Core, front *platform.Server, r *reloaded) adminapi.Figures {
	f := adminapi.Figures{Pending: front.Pending(), Reloads: r.taken.Load(), Fails: r.fails.Load()}
	type look struct {
		n       oakthread.Counters
		ejected []balancer.WorkerID
	}
	got := make(chan look, 1)
	go func() { got <- look{core.Counters(), core.Ejected()} }()
	select {
	case l := <-got:
		// Attempts less those whose connection was refused.
		f.Attempts, f.Ejected = l.n.Attempts-l.n.AttemptResults[balancer.ConnectFailed], l.ejected
	case <-ctx.Done():
		f.Stale = true
	}
	return f
}

// verdicts is what the core holds of each executor, in the console's form; false: it did not answer in time.
func verdicts(ctx context.Context, core *oakthread.Core) ([]adminapi.Verdict, bool) {
	got := make(chan []balancer.WorkerHealth, 1)
	go func() { got <- core.WorkerHealth() }()
	select {
	case vs := <-got:
		rows := make([]adminapi.Verdict, 0, len(vs))
		for _, v := range vs {
			row := adminapi.Verdict{
				Executor: v.Worker, Zone: v.Zone, Verdict: v.Status.String(), Evidence: v.Evidence, Served: v.Good, Failed: v.Bad, Pace: v.Pace,
				Observers: [2]int{int(v.Word.Good), int(v.Word.Bad)}, WordAgeMS: -1, TrialInMS: time.Duration(v.TrialIn).Milliseconds(), Unreached: v.Unreachable,
			}
			if v.WordAge >= 0 {
				row.WordAgeMS = time.Duration(v.WordAge).Milliseconds()
			}
			rows = append(rows, row)
		}
		return rows, true
	case <-ctx.Done():
		return nil, false
	}
}
