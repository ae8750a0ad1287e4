package platform

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// replaceAtAddress tells the core that worker 1 is gone and that worker 2 listens at its address.
func (s *testbed) replaceAtAddress() {
	s.t.Helper()
	addr := s.executors[0].addr()
	s.core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta, Endpoints: []oakthread.Endpoint{
		{ID: 2, Addr: addr, State: balancer.Active, Weight: 1},
		{ID: 1, Addr: addr, State: balancer.Removed, Weight: 1},
	}})
	s.core.Counters() // returns after the update was handled
}

// Guards against calls that reach a new process at the address of one that has gone as calls to the
// old one: a call whose connection comes up after the replacement is not written, whatever its
// class, and a connection to the old process carries no call to the new one.
func TestNewWorkerAtAnAddressGetsNoCallOfTheOldOne(t *testing.T) {
	for _, class := range []string{"path-check", "path-book"} {
		t.Run(class, func(t *testing.T) {
			s := newTestbed(t, testbedOptions{}, newRecordingExecutor(t, nil))
			require.Equal(t, http.StatusOK, s.call(firstID, class))
			s.pool.CloseConnections(1) // the next call needs a new connection
			s.holdDialAfter(0)
			client := s.send(secondID, class)
			<-s.heldDial
			s.replaceAtAddress()
			close(s.releaseDial)
			require.Equal(t, http.StatusOK, s.readStatus(client), "sent to the new worker instead")
			require.Equal(t, http.StatusOK, s.call(thirdID, class))
			s.close()
			assert.Equal(t, []string{firstID, secondID, thirdID}, s.executors[0].requests(), "each once")
			connections := s.executors[0].connections
			assert.NotEqual(t, connections[0], connections[1], "connection of the old worker used again")
		})
	}
}
