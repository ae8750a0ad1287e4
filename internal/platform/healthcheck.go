package platform

import (
	"context"
	"net/http"

	"oakthread"
	"oakthread/balancer"
)

// HealthCheck sends a health check to an executor, which returns its load report. A 503 means that
// the executor is draining.
func (p *ExecutorPool) HealthCheck(ctx context.Context, endpoint oakthread.Endpoint) oakthread.Reply {
	response, unsent, err := p.roundTrip(ctx, endpoint, executorRequest{
		method: http.MethodGet, path: executorHealthPath, header: withoutUserAgent(),
	})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	response.body = nil
	reply := p.parseReply(response)
	if reply.Result != balancer.OK {
		reply.Result, reply.Draining = balancer.Error, response.status == http.StatusServiceUnavailable
	}
	return reply
}
