package daemon

import (
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/ingress"
)

// logCounters logs the counters of the core and of the components around it.
func (m *monitor) logCounters(counters oakthread.Counters) {
	results := &counters.AttemptResults
	ended := &counters.EndReasons
	unknownPeers, oversized := m.peers.Dropped()
	m.log.Info("counts",
		"taken", counters.Accepted,
		"served", counters.Served,
		"refused", counters.Rejected,
		"failed", counters.Failed,
		"timed_out", counters.TimedOut,
		"abandoned", counters.Abandoned,
		"turned_away", counters.RejectedByLimit,
		"held_off", counters.RejectedByAdmission,
		"ended_overload", ended[balancer.EndedByOverload],
		"ended_deadline", ended[balancer.EndedByDeadline],
		"ended_attempts", ended[balancer.EndedByAttemptLimit],
		"ended_no_worker", ended[balancer.EndedWithoutWorker],
		"ended_not_retryable", ended[balancer.EndedNotRetryable],
		"ended_unknown_function", ended[balancer.EndedByUnknownFunction],
		"attempts", counters.Attempts,
		"full", results[balancer.QueueFull],
		"moot", results[balancer.NotSent],
		"cut", results[balancer.Reset],
		"unreached", results[balancer.ConnectFailed],
		"late", results[balancer.Timeout],
		"errors", results[balancer.Error],
		"called_off", results[balancer.Cancelled],
		"orders", counters.LoadOrders,
		"orders_held", counters.LoadOrdersWithheld,
		"bad", m.server.Malformed(),
		"heads_refused", m.server.Refused(ingress.TooManyFields),
		"slow_refused", m.server.Refused(ingress.MemoryExhausted),
		"pipelined_refused", m.server.Refused(ingress.TooMuchPipelined),
		"answers_unread", m.server.Refused(ingress.AnswersNotRead),
		"paced", m.server.Paced(),
		"checks", counters.Leases.Checks,
		"checks_rejected", counters.Leases.ChecksRejected,
		"checks_failed", counters.Leases.ChecksFailed,
		"lease_waits", counters.Leases.Waits,
		"drains_found", counters.Leases.Drains,
		"watch_checks", counters.Leases.WatchChecks,
		"drain_reports", counters.Leases.DrainReports,
		"probations", counters.Leases.Probations,
		"readmissions", counters.Leases.Readmissions,
		"list_age_ms", m.listAge().Milliseconds(),
		"peers_unread", counters.InvalidPeerMessages,
		"peers_long", oversized,
		"peers_unknown", unknownPeers,
		"accepts_failed", m.server.AcceptFailures(),
		"connects_failed", m.workers.LocalDialFailures(),
		"list_writes_failed", m.failedCacheWrites(),
		"violations", m.violations.Total())
}

// listAge returns the time since service discovery last confirmed the endpoint list, or zero if it
// never has.
func (m *monitor) listAge() time.Duration {
	age, _ := m.core.EndpointsAge()
	return age
}

// failedCacheWrites returns the number of failed writes of the endpoint cache, or zero if there is
// no cache.
func (m *monitor) failedCacheWrites() int64 {
	if m.endpointCache == nil {
		return 0
	}
	return m.endpointCache.FailedWrites()
}
