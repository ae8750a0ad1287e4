package platform

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread"
	"oakthread/balancer"
)

// If a worker drains, is removed, restarts or moves while the connection for a call is being
// established, nothing is written on that connection, and another worker serves the call, once.
func TestDrainingWorkerGetsNoNewAttempt(t *testing.T) {
	for name, change := range map[string]func(*oakthread.Endpoint){
		"drains":    func(endpoint *oakthread.Endpoint) { endpoint.State = balancer.Draining },
		"removed":   func(endpoint *oakthread.Endpoint) { endpoint.State = balancer.Removed },
		"restarted": func(endpoint *oakthread.Endpoint) { endpoint.Start = time.Now().Add(-time.Hour) },
		"moved":     func(endpoint *oakthread.Endpoint) { endpoint.Addr = "127.0.0.1:1" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t, testbedOptions{settings: withoutCancellation},
				newRecordingExecutor(t, nil), newRecordingExecutor(t, nil))
			s.holdDialAfter(0)
			client := s.send(firstID, "path-book")
			held := <-s.heldDial
			s.updateEndpoints(balancer.EndpointsDelta, func(i int, endpoint *oakthread.Endpoint) {
				if s.executors[i].addr() == held.RemoteAddr().String() {
					change(endpoint)
				}
			})
			heldAddr := held.LocalAddr().String()
			close(s.releaseDial)
			assert.Equal(t, 200, s.readStatus(client))
			runs := 0
			for _, executor := range s.executors {
				assert.NotContains(t, executor.connections, heldAddr, "written on the held connection")
				runs += len(executor.requests())
			}
			assert.Equal(t, 1, runs)
			s.close()
		})
	}
}

// A load order is not written either if its worker starts to drain during the connect.
func TestDrainingWorkerGetsNoLoadOrder(t *testing.T) {
	closing := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }
	s := newTestbed(t, testbedOptions{settings: withShortKeepAlive}, newRecordingExecutor(t, closing))
	s.expireKeepAlive()
	s.holdDialAfter(0)
	client := s.send(firstID, "path-book")
	<-s.heldDial
	s.updateEndpoints(balancer.EndpointsDelta, func(_ int, endpoint *oakthread.Endpoint) {
		endpoint.State = balancer.Draining
	})
	close(s.releaseDial)
	assert.Equal(t, 503, s.readStatus(client), "there is no other worker")
	s.pool.HealthCheck(t.Context(), oakthread.Endpoint{ID: 1, Addr: s.executors[0].addr()})
	assert.Equal(t, []string{thirdID, "GET"}, s.executors[0].requests())
	s.close()
}
