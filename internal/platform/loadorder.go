package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"oakthread"
)

// Load orders copies of a function. 500 is a failed load, 503 no room.
func (f *ExecutorPool) Load(ctx context.Context, o oakthread.LoadOrder) oakthread.Reply {
	path := "/c/" + url.PathEscape(o.Key) + "/" + strconv.Itoa(o.Count)
	resp, _, unsent, err := f.roundTrip(ctx, o.Worker, executorRequest{method: http.MethodPut, path: path, header: withoutUserAgent(), beforeWrite: o.BeforeWrite})
	if err != nil {
		return oakthread.Reply{Result: classifyFailure(ctx, unsent, err)}
	}
	return f.parseReply(resp, nil)
}

// Unload unloads the idle copies of a function; nothing is learned of it.
func (f *ExecutorPool) Unload(ctx context.Context, o oakthread.LoadOrder) {
	_, _, _, _ = f.roundTrip(ctx, o.Worker, executorRequest{method: http.MethodDelete, path: "/c/" + url.PathEscape(o.Key), header: withoutUserAgent()})
}
