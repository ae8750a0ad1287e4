package platform

import (
	"context"
	"net/http"

	"oakthread"
	"oakthread/balancer"
)

// HealthCheck asks an executor for its load.
func (f *ExecutorPool) HealthCheck(ctx context.Context, m oakthread.Endpoint) oakthread.Reply {
	resp, _, unsent, err := f.roundTrip(ctx, m, executorRequest{method: http.MethodGet, path: "/busy", header: withoutUserAgent()})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	r := f.parseReply(resp, nil)
	if r.Result != balancer.OK {
		r.Result, r.Draining = balancer.Error, resp.StatusCode == http.StatusServiceUnavailable
	}
	return r
}

// withoutUserAgent is a head without net/http's own User-Agent.
func withoutUserAgent() http.Header { return http.Header{"User-Agent": {""}} }
