package platform

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"oakthread"
	"oakthread/balancer"
)

// readBody reads an answer's body. Guards against answers without end or beyond all memory, and against one cut off
// that looks whole: its end must be told.
func (f *ExecutorPool) readBody(resp *http.Response) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errResponseUnbounded
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	counted := int64(0)
	defer func() { f.responseMemory.Add(counted) }()
	got := make([]byte, 0, min(max(resp.ContentLength, 0)+1, initialResponseBuffer))
	for {
		n, err := resp.Body.Read(got[len(got):cap(got)])
		got = got[:len(got)+n]
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return nil, err
		}
		if len(got) < cap(got) {
			continue
		}
		more := int64(max(cap(got), 1<<10))
		counted += more
		if f.responseMemory.Add(-more) < 0 || len(got) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
		got = append(make([]byte, 0, int64(cap(got))+more), got...)
	}
}

var warmthByName = map[string]balancer.Warmth{
	"hit": balancer.WarmHit, "spawn": balancer.BeganLoad,
	"pending": balancer.AwaitedLoad, "spawn_failed": balancer.LoadFailed,
}

// parseReply reads an executor's answer. Only a 404, and a 503 or 504 that says so, prove that nothing ran.
func (f *ExecutorPool) parseReply(resp *http.Response, body []byte) oakthread.Reply {
	h := resp.Header
	r := oakthread.Reply{Result: balancer.Error, Warmth: warmthByName[h.Get("X-Tell")], Report: f.parseReport(h.Get("X-Report"))}
	if n, err := strconv.Atoi(h.Get("X-Same")); err == nil && n > 0 {
		r.ConcurrentRequests = min(n, 30)
	}
	if n, err := strconv.Atoi(h.Get("X-N")); err == nil && n > 0 {
		r.Copies = n
	}
	noEffect := h.Get("X-No-Effect") == "1"
	switch {
	case resp.StatusCode == http.StatusOK:
		r.Result, r.Body = balancer.OK, body
	case resp.StatusCode == http.StatusNotFound:
		r.Result = balancer.NotLoaded
	case resp.StatusCode == http.StatusServiceUnavailable && noEffect:
		r.Result = balancer.QueueFull
	case resp.StatusCode == http.StatusGatewayTimeout && noEffect:
		r.Result = balancer.NotSent
	}
	return r
}
