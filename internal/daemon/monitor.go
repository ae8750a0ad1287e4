package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/endpointcache"
	"oakthread/internal/monotime"
	"oakthread/internal/platform"
	"oakthread/internal/violation"
)

// faults is what counts troubles of the system's.
type faults struct {
	front  *platform.Server
	fleet  *platform.ExecutorPool
	keeper *endpointcache.Syncer // nil: no list is kept
	found  *violation.Recorder
}

func (f faults) listWrites() int64 {
	if f.keeper == nil {
		return 0
	}
	return f.keeper.FailedWrites()
}

// count logs the counters while calls come, and whether the process or the core's loop stood still.
func count(ctx context.Context, core *oakthread.Core, front *platform.Server, peers *platform.PeerTransport, f faults, log *slog.Logger) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var told oakthread.Counters
	stepped := monotime.Step()
	seen, next := time.Now(), time.Now().Add(countEvery)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		woke := time.Now()
		n := core.Counters()
		if at := monotime.Step(); at-stepped > stepTold || stepped-at > stepTold {
			log.Warn("the wall clock was stepped", "by", at-stepped, "since_start", at)
			stepped = at
		}
		if process, loop := woke.Sub(seen)-lookEvery, time.Since(woke); process > still || loop > still {
			log.Warn("stood still", "process", process, "loop", loop)
		}
		if peers != nil && log.Enabled(ctx, slog.LevelDebug) {
			v := core.FleetView()
			likely := make([]float64, 0, len(v.Totals))
			for _, t := range v.Totals {
				likely = append(likely, math.Round(10*t.Likely)/10)
			}
			log.Debug("shared", "heard", v.Heard, "missing", v.Missing, "age", time.Duration(v.Age), "never", v.Never, "likely", fmt.Sprint(likely))
		}
		if seen = time.Now(); n != told && !seen.Before(next) {
			told, next = n, seen.Add(countEvery)
			strangers, long := peers.Dropped()
			log.Info("counts", "taken", n.Accepted, "served", n.Served, "refused", n.Rejected, "failed", n.Failed,
				"timed_out", n.TimedOut, "abandoned", n.Abandoned, "turned_away", n.RejectedByLimit, "held_off", n.RejectedByAdmission,
				"attempts", n.Attempts, "full", n.AttemptResults[balancer.QueueFull], "moot", n.AttemptResults[balancer.NotSent], "cut", n.AttemptResults[balancer.Reset],
				"unreached", n.AttemptResults[balancer.ConnectFailed], "late", n.AttemptResults[balancer.Timeout], "errors", n.AttemptResults[balancer.Error],
				"called_off", n.AttemptResults[balancer.Cancelled], "orders", n.LoadOrders, "orders_held", n.LoadOrdersWithheld, "bad", front.Bad(),
				"peers_unread", n.InvalidPeerMessages, "peers_long", long, "peers_unknown", strangers,
				"accepts_failed", f.front.AcceptsFailed(), "connects_failed", f.fleet.Shortages(), "list_writes_failed", f.listWrites(),
				"violations", f.found.Sum())
		}
	}
}
