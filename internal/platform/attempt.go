package platform

import (
	"context"
	"net/http"
	"net/url"

	"oakthread"
)

// Send makes one attempt. It writes at most one request, even if it needs a second connection.
func (p *ExecutorPool) Send(ctx context.Context, attempt oakthread.Attempt) oakthread.Reply {
	call := attempt.Request
	header := withoutUserAgent()
	header.Set(requestIDHeader, call.ID)
	header.Set(functionHeader, call.Key)
	if call.IdempotencyKey != "" {
		header.Set(executorKeyHeader, call.IdempotencyKey)
	}
	method := http.MethodPost
	if len(call.Body) == 0 {
		method = http.MethodGet
	}
	class, _ := p.classes.Table().Numbered(call.Class) // the core accepts only numbers that are in use
	response, unsent, err := p.roundTrip(ctx, attempt.Worker, executorRequest{
		method: method, path: executorCallPath + url.PathEscape(class.Name), header: header, body: call.Body,
		deadline: attempt.Deadline, beforeWrite: attempt.BeforeWrite,
	})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	return p.parseReply(response)
}

// withoutUserAgent returns a header with an empty User-Agent, so that net/http adds none of its
// own.
func withoutUserAgent() http.Header { return http.Header{userAgentHeader: {""}} }
