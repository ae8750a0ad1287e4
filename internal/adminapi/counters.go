package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"oakthread/balancer"
)

// metricPrefix is the prefix of every metric name.
const metricPrefix = "edge_router"

// Counters are the counters of the dispatcher other than those of the classes.
type Counters struct {
	Attempts               int64               // sent in full to workers
	Pending                int64               // calls that have not been answered
	Reloads, FailedReloads int64               // configuration reloads that succeeded and that failed
	Ejected                []balancer.WorkerID // workers that the balancer has ejected
	Stale                  bool                // the core did not respond in time: Attempts and Ejected are unset
}

// classCounters are the numbers of answered calls of one class.
type classCounters struct {
	class                       string
	completed, rejected, failed int64
}

// handleCounters responds with all counters and gauges, one per line in statsd format.
func (s *Server) handleCounters(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), coreTimeout)
	counters := s.sources.Counters(ctx)
	cancel()
	s.mu.Lock()
	if counters.Stale { // the previous values lag by less than readers of the counters notice
		counters.Attempts, counters.Ejected = s.lastCounters.Attempts, s.lastCounters.Ejected
	}
	s.lastCounters = counters
	members, unavailable := s.state.CountWorkers(counters.Ejected)
	s.mu.Unlock()

	var text strings.Builder
	for _, c := range s.classCounters() {
		writeCounter(&text, "completed."+c.class, c.completed)
		writeCounter(&text, "rejected."+c.class, c.rejected)
		writeCounter(&text, "failed."+c.class, c.failed)
	}
	writeCounter(&text, "upstream_requests", counters.Attempts)
	writeGauge(&text, "pending", counters.Pending)
	writeGauge(&text, "members", int64(members))
	writeGauge(&text, "members_unavailable", int64(unavailable))
	writeGauge(&text, "config_reloads", counters.Reloads)
	writeGauge(&text, "config_reload_errors", counters.FailedReloads)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text.String()))
}

// classCounters returns the counters of all classes, sorted by name.
func (s *Server) classCounters() []classCounters {
	var classes []classCounters
	s.sources.ForEachClass(func(class string, completed, rejected, failed int64) {
		classes = append(classes, classCounters{class, completed, rejected, failed})
	})
	slices.SortFunc(classes, func(a, b classCounters) int { return strings.Compare(a.class, b.class) })
	return classes
}

func writeCounter(text *strings.Builder, name string, value int64) {
	fmt.Fprintf(text, "%s.%s:%d|c\n", metricPrefix, name, value)
}

func writeGauge(text *strings.Builder, name string, value int64) {
	fmt.Fprintf(text, "%s.%s:%d|g\n", metricPrefix, name, value)
}
