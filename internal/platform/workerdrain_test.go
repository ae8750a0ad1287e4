package platform

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// Guards drains and restarts against what is on its way: the list tells of a box while the connection for a call comes up,
// and nothing is written on that connection. The call goes elsewhere, once.
func TestDrainingWorkerGetsNoNewAttempt(t *testing.T) {
	for name, change := range map[string]func(m *oakthread.Endpoint){
		"drains":     func(m *oakthread.Endpoint) { m.State = balancer.Draining },
		"is gone":    func(m *oakthread.Endpoint) { m.State = balancer.Removed },
		"restarted":  func(m *oakthread.Endpoint) { m.Start = time.Now().Add(-time.Hour) },
		"has passed": func(m *oakthread.Endpoint) { m.Addr = "127.0.0.1:1" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t, func(x *wire.Setup) { x.Permissions.Cancel = false }, nil, newRecordingExecutor(t, nil), newRecordingExecutor(t, nil))
			s.holdDialAfter(0)
			c := s.send(firstID, "path-book")
			held := <-s.heldDial
			s.updateEndpoints(balancer.EndpointsDelta, func(i int, m *oakthread.Endpoint) {
				if s.executors[i].addr() == held.RemoteAddr().String() {
					change(m)
				}
			})
			mine := held.LocalAddr().String()
			close(s.releaseDial)
			assert.Equal(t, 200, s.readStatus(c))
			runs := 0
			for _, b := range s.executors {
				assert.NotContains(t, b.connections, mine, "written on the connection that came up late")
				runs += len(b.requests())
			}
			assert.Equal(t, 1, runs)
			s.close()
		})
	}
}

// Guards the same for orders to load.
func TestDrainingWorkerGetsNoLoadOrder(t *testing.T) {
	s := newTestbed(t, withShortKeepAlive, nil, newRecordingExecutor(t, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Connection", "close") }))
	s.expireWarmth()
	s.holdDialAfter(0)
	c := s.send(firstID, "path-book")
	<-s.heldDial
	s.updateEndpoints(balancer.EndpointsDelta, func(_ int, m *oakthread.Endpoint) { m.State = balancer.Draining })
	close(s.releaseDial)
	assert.Equal(t, 503, s.readStatus(c), "no other box is there")
	s.pool.HealthCheck(t.Context(), oakthread.Endpoint{ID: 1, Addr: s.executors[0].addr()})
	assert.Equal(t, []string{thirdID, "GET"}, s.executors[0].requests())
	s.close()
}
