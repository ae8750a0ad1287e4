package daemon

import (
	"time"

	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
	"oakthread/internal/monotime"
)

// newEndpointCache opens the cached endpoint list that the operator's file asks for. It starts with
// the endpoints of the configuration.
func (d *daemon) newEndpointCache() *endpointcache.Syncer {
	list := d.options.File.List
	settings := d.cfg.Setup.Decide()
	dispatchers := list.Siblings
	if dispatchers <= 0 {
		dispatchers = max(dispatchers, settings.Dispatchers)
	}
	options := endpointcache.Options{
		Path:  list.Path,
		Owner: d.cfg.Name,
		Util:  d.cfg.Setup.Field("cpu"),
		Roster: endpoints.Config{
			Seed:      d.cfg.Seed,
			Siblings:  dispatchers,
			Budget:    list.Budget,
			ProbeRate: list.ProbeRate,
			MaxWait:   list.MaxWait.Duration,
			Fresh:     d.options.Fresh,
		},
	}
	for _, class := range settings.Classes {
		options.Aims = append(options.Aims, time.Duration(class.LatencyObjective))
	}
	now := monotime.Now()
	cache := endpointcache.NewKeeper(options, d.workers, d.console.Listed, now, d.log)
	var known []oakthread.EndpointUpdate
	for _, event := range d.cfg.Known {
		known = append(known, event.Roster)
	}
	cache.Known(now, d.cfg.Cursor, known)
	return cache
}
