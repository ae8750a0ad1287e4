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
	list := d.options.File.EndpointCache
	settings := d.cfg.Settings.BalancerSettings()
	dispatchers := list.Dispatchers
	if dispatchers <= 0 {
		dispatchers = max(dispatchers, settings.Dispatchers)
	}
	options := endpointcache.Options{
		Path:             list.Path,
		Owner:            d.cfg.Name,
		UtilizationField: d.cfg.Settings.ReportField("cpu"),
		List: endpoints.Config{
			Seed:                d.cfg.Seed,
			Dispatchers:         dispatchers,
			InitialLoadFraction: list.InitialLoadFraction,
			HealthCheckRate:     list.HealthCheckRate,
			MaxRetryAfter:       list.MaxRetryAfter.Duration,
			TrustCached:         d.options.TrustCachedList,
		},
	}
	for _, class := range settings.Classes {
		options.LatencyObjectives = append(options.LatencyObjectives, time.Duration(class.LatencyObjective))
	}
	now := monotime.Now()
	cache := endpointcache.NewSyncer(options, d.workers, d.console.UpdateEndpoints, now, d.log)
	var known []oakthread.EndpointUpdate
	for _, event := range d.cfg.InitialEvents {
		known = append(known, event.Update)
	}
	cache.ApplyConfigured(now, d.cfg.Cursor, known)
	return cache
}
