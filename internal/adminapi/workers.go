package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"oakthread/balancer"
)

// WorkerHealth is the health of one worker as the dispatcher sees it, in the form of /control/verdicts.
type WorkerHealth struct {
	Worker          balancer.WorkerID `json:"executor"` // as in log lines
	Zone            int               `json:"zone"`
	State           string            `json:"verdict"` // well, suspect, left out, on trial
	Evidence        string            `json:"evidence"`
	RecentSuccesses float64           `json:"served_lately"` // decaying count of own calls that succeeded
	FailureFraction float64           `json:"failed_latest"` // decaying mean of the failures of own calls, 0 to 1
	LatencyRatio    float64           `json:"pace"`          // response time over the mean of all workers, at least 1
	Observers       [2]int            `json:"observers"`     // of the last gossip: served and not served
	GossipAgeMS     int64             `json:"word_age_ms"`   // age of the last gossip; -1: none
	NextCheckInMS   int64             `json:"trial_in_ms"`   // time until the next trial; 0: due, or not ejected
	Unreachable     bool              `json:"unreachable"`   // from this dispatcher
}

// handleWorkerHealth responds with the health of all workers as JSON.
func (s *Server) handleWorkerHealth(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), coreTimeout)
	defer cancel()
	workers, ok := s.sources.WorkerHealth(ctx)
	if !ok {
		http.Error(w, "the dispatcher is busy; ask again", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(workers)
}

// handleOffline takes a worker offline until an operator puts it back online.
func (s *Server) handleOffline(w http.ResponseWriter, r *http.Request) { s.changeWorker(w, r, true) }

// handleOnline puts a worker that was taken offline back online.
func (s *Server) handleOnline(w http.ResponseWriter, r *http.Request) { s.changeWorker(w, r, false) }

// changeWorker applies an operator's decision on a worker, stores it and passes the updates of the
// endpoint list to the core.
func (s *Server) changeWorker(w http.ResponseWriter, r *http.Request, offline bool) {
	name := r.PathValue("id")
	updates, known := s.changeBan(s.workerID(name), offline)
	s.publish(updates...)
	if !known {
		http.Error(w, fmt.Sprintf("executor %q is not known", name), http.StatusNotFound)
		return
	}
	s.log.Info("admin worker state changed", "worker_id", name, "offline", offline)
	_, _ = w.Write([]byte("ok\n"))
}
