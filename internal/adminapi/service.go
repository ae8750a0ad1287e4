package adminapi

import "net/http"

// handleReady responds with whether the dispatcher accepts calls, for load balancers in front of it.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// handleOutOfService takes the dispatcher out of service, which makes it report that it is not ready.
func (s *Server) handleOutOfService(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.state.TakeOutOfService()
	s.mu.Unlock()
	s.finishServiceChange(w, true)
}

// handleInService puts the dispatcher back in service.
func (s *Server) handleInService(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.state.ReturnToService()
	s.mu.Unlock()
	s.finishServiceChange(w, false)
}

func (s *Server) finishServiceChange(w http.ResponseWriter, outOfService bool) {
	s.sources.SetOutOfService(outOfService)
	s.log.Info("admin service state changed", "out_of_service", outOfService)
	_, _ = w.Write([]byte("ok\n"))
}
