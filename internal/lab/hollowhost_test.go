package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// hollowHost is the dispatcher in virtual time; it records the actions that the decision module
// orders.
type hollowHost struct {
	*simNode
	s *hostWorld
}

// runHollow runs a scenario with the hollow host.
func runHollow(t *testing.T, p scenario) *hostWorld {
	t.Helper()
	s := newHostWorld(t, p, bubbleStart.Add(p.offset))
	h := &hollowHost{simNode: s.nodes[0], s: s}
	require.NoError(t, h.initBalancer(s.settingsOf(0), s.seedOf(0), h))
	if p.waitForever {
		h.limit = time.Hour
	}
	s.host = h
	s.schedule()
	s.run(s.began.Add(s.span + stageEnd))
	assert.Empty(t, h.open, "calls without an end")
	s.ends = h.ends
	s.recordVerified(h.list.Report(s.now))
	return s
}

func (h *hollowHost) notify(u endpoints.Update) {
	h.list.HandleUpdate(h.s.now, u)
	h.flush()
}

func (h *hollowHost) receive(from int, data string) {
	h.d.HandlePeerMessage(h.s.now.UnixNano(), from, data)
}

func (h *hollowHost) arrive(call *simCall) { h.simNode.arrive(call) }

func (h *hollowHost) configure(k balancer.Class, attempts int) {
	_, err := h.d.AddClasses(h.s.now.UnixNano(), []balancer.Class{k})
	h.s.record("configure %v", err)
	h.d.SetMaxAttempts(h.s.now.UnixNano(), attempts)
}

func (h *hollowHost) SendAttempt(id string, worker balancer.WorkerID, until int64) {
	h.s.record("send %s #%d to %d", id, h.open[id].attempts, worker)
	h.simNode.SendAttempt(id, worker, until)
}

// CancelAttempt records the cancellation only of an attempt that has not ended, as the core does.
func (h *hollowHost) CancelAttempt(id string, attempt int) {
	if fl := h.attempts[simKey{id, attempt}]; fl != nil && !fl.ended {
		h.s.record("cancel %s #%d", id, attempt)
	}
	if !h.s.ignoreCancel {
		h.simNode.CancelAttempt(id, attempt)
	}
}

func (h *hollowHost) Reject(id string, wait int64) {
	h.s.record("refuse %s, come back in %v", id, time.Duration(wait))
	h.simNode.Reject(id, wait)
}

func (h *hollowHost) Fail(id string) {
	h.s.record("fail %s", id)
	h.simNode.Fail(id)
}

func (h *hollowHost) OrderLoad(worker balancer.WorkerID, function balancer.FuncID, n int) {
	h.s.record("load %d of %x at %d", n, function, worker)
	h.simNode.OrderLoad(worker, function, n)
}

func (h *hollowHost) OrderUnload(worker balancer.WorkerID, function balancer.FuncID) {
	h.s.record("drop %x at %d", function, worker)
	h.simNode.OrderUnload(worker, function)
}

func (h *hollowHost) SendPeerMessage(to int, data string) {
	h.s.record("tell %d %s", to, data)
	h.s.deliver(0, to, data)
}

func (h *hollowHost) Log(text string) { h.s.record("log %s", text) }
