package platform

import (
	"context"
	"net/http"

	"oakthread"
)

// Send is one attempt: at most one request written.
func (f *ExecutorPool) Send(ctx context.Context, a oakthread.Attempt) oakthread.Reply {
	h := http.Header{"X-Hop-Id": {a.Request.ID}, "X-Thing": {a.Request.Key}, "User-Agent": {""}}
	if a.Request.IdempotencyKey != "" {
		h.Set("X-Replay-Key", a.Request.IdempotencyKey)
	}
	method := http.MethodPost
	if len(a.Request.Body) == 0 {
		method = http.MethodGet
	}
	resp, body, unsent, err := f.roundTrip(ctx, a.Worker, executorRequest{
		method: method, path: "/c/" + (*f.classNames.Load())[a.Request.Class], header: h,
		body: a.Request.Body, deadline: a.Deadline, beforeWrite: a.BeforeWrite,
	})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	return f.parseReply(resp, body)
}
