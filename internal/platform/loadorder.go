package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"oakthread"
)

// Load orders an executor to load copies of a function. A 500 means that the load failed, a 503
// that the executor lacks capacity.
func (p *ExecutorPool) Load(ctx context.Context, order oakthread.LoadOrder) oakthread.Reply {
	response, unsent, err := p.roundTrip(ctx, order.Worker, executorRequest{
		method: http.MethodPut, path: functionPath(order) + "/" + strconv.Itoa(order.Count),
		header: withoutUserAgent(), beforeWrite: order.BeforeWrite,
	})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	response.body = nil
	return p.parseReply(response)
}

// Unload orders an executor to unload the idle copies of a function. The response carries no
// information and is ignored.
func (p *ExecutorPool) Unload(ctx context.Context, order oakthread.LoadOrder) {
	_, _, _ = p.roundTrip(ctx, order.Worker, executorRequest{
		method: http.MethodDelete, path: functionPath(order), header: withoutUserAgent(),
	})
}

// functionPath returns the request path of an order's function.
func functionPath(order oakthread.LoadOrder) string {
	return executorCallPath + url.PathEscape(order.Key)
}
