package daemon

import (
	"oakthread"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
	"oakthread/internal/monotime"
)

// newEndpointCache opens the endpoint cache that the configuration file asks for, and applies the
// endpoints of the platform's configuration unless the cached list is newer.
func (d *daemon) newEndpointCache() *endpointcache.Syncer {
	list := d.options.ConfigFile.EndpointCache
	settings := d.cfg.Settings.BalancerSettings()
	dispatchers := list.Dispatchers
	if dispatchers <= 0 {
		dispatchers = max(dispatchers, settings.Dispatchers)
	}
	options := endpointcache.Options{
		Path:             list.Path,
		Owner:            d.cfg.Name,
		Classes:          d.classes,
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
	now := monotime.Now()
	cache := endpointcache.NewSyncer(options, d.workers, d.adminAPI.UpdateEndpoints, now, d.log)
	var known []oakthread.EndpointUpdate
	for _, event := range d.cfg.InitialEvents {
		known = append(known, event.Update)
	}
	cache.ApplyConfigured(now, d.cfg.Cursor, known)
	return cache
}
