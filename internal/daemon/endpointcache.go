package daemon

import (
	"log/slog"
	"time"

	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
	"oakthread/internal/monotime"
	"oakthread/internal/platform"
)

// keep opens the kept list that the operator's file asks for.
func keep(o Options, cfg *platform.Config, fleet *platform.ExecutorPool, tell func(oakthread.EndpointUpdate), log *slog.Logger) *endpointcache.Syncer {
	l, set := o.File.List, cfg.Setup.Decide()
	ko := endpointcache.Options{Path: l.Path, Owner: cfg.Name, Util: cfg.Setup.Field("cpu"), Roster: endpoints.Config{
		Seed:     cfg.Seed,
		Siblings: max(l.Siblings, set.Dispatchers), Budget: l.Budget, ProbeRate: l.ProbeRate, MaxWait: l.MaxWait.Duration, Fresh: o.Fresh,
	}}
	if l.Siblings > 0 {
		ko.Roster.Siblings = l.Siblings
	}
	for _, c := range set.Classes {
		ko.Aims = append(ko.Aims, time.Duration(c.LatencyObjective))
	}
	now := monotime.Now()
	k := endpointcache.NewKeeper(ko, fleet, tell, now, log)
	var known []oakthread.EndpointUpdate
	for _, ev := range cfg.Known {
		known = append(known, ev.Roster)
	}
	k.Known(now, cfg.Cursor, known)
	return k
}
