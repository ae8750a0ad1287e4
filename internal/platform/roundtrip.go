package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"oakthread"
	"oakthread/rules"
)

// executorRequest is one request to an executor.
type executorRequest struct {
	method, path string
	header       http.Header
	body         []byte
	deadline     time.Time   // the time left until then is sent as X-Budget; zero: none is sent
	beforeWrite  func() bool // asked right before the first byte is written; nil: always allowed
}

// setBudget sets the time left in a head that is about to be written.
func (r *executorRequest) setBudget(head http.Header) {
	if !r.deadline.IsZero() {
		head.Set(budgetHeader, strconv.FormatInt(rules.RemainingMillis(time.Until(r.deadline)), 10))
	}
}

// mayWrite decides right before the first byte whether the request may be written with the budget that
// was set at budgetTime.
func (r *executorRequest) mayWrite(budgetTime time.Time) rules.Reason {
	write := rules.Write{Revoked: r.beforeWrite != nil && !r.beforeWrite()}
	if !r.deadline.IsZero() {
		write.BudgetAge = time.Since(budgetTime)
	}
	return rules.MayWrite(write)
}

// nonReplayableBody returns a body that http.Transport can neither rewind nor take for absent, so that it
// never sends a request a second time by itself, which could run it twice. It does not replay an empty
// PUT or DELETE anyway, and would send one with such a body in chunks.
func nonReplayableBody(method string, body []byte) io.ReadCloser {
	if len(body) == 0 && method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

// exchange is one try at writing a request and reading its response.
type exchange struct {
	request       *executorRequest
	header        http.Header
	conn          *executorConn // nil until the transport has assigned one
	reused        bool          // conn has carried requests before
	writtenBefore int64         // bytes written on conn before this request
}

// newRequest returns the request for the transport. It is traced by handleGotConn.
func (x *exchange) newRequest(ctx context.Context, addr string) *http.Request {
	request := &http.Request{
		Method: x.request.method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: x.request.path}, Host: addr,
		Header: x.header, Body: nonReplayableBody(x.request.method, x.request.body),
		ContentLength: int64(len(x.request.body)),
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.handleGotConn}))
}

// handleGotConn notes the connection that the transport has assigned, before it writes the head. The
// budget is set here rather than earlier because the connection may have taken long to be established.
func (x *exchange) handleGotConn(info httptrace.GotConnInfo) {
	x.conn, _ = info.Conn.(*executorConn)
	if x.conn == nil {
		return
	}
	x.writtenBefore, x.reused = x.conn.bytesWritten.Load(), info.Reused
	budgetTime := time.Now()
	x.request.setBudget(x.header)
	x.conn.setMayWrite(func() rules.Reason { return x.request.mayWrite(budgetTime) })
}

// abort closes the connection of a failed exchange, so that nothing more is written on it whatever goes
// on in the transport, and reports whether nothing of the request was written.
func (x *exchange) abort() (unsent bool) {
	if x.conn == nil {
		return true
	}
	_ = x.conn.Close()
	return x.conn.bytesWritten.Load() == x.writtenBefore
}

// isRetryable reports whether a failed exchange may be tried on another connection: the executor closed
// an idle connection, or reset a new one, before anything was written on it.
func (x *exchange) isRetryable(unsent bool, err error) bool {
	if x.conn == nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	return unsent
}

// roundTrip writes one request and reads its whole response. It retries once, on another connection, if
// nothing was written on the first. unsent reports that no byte of the request was written. Whether the
// request may be written is decided right before its first byte; a connection that is established too late
// for it is kept for the next.
func (p *ExecutorPool) roundTrip(
	ctx context.Context, endpoint oakthread.Endpoint, request executorRequest,
) (response executorResponse, unsent bool, err error) {
	for first := true; ; first = false {
		if ctx.Err() != nil {
			return executorResponse{}, true, ctx.Err()
		}
		x := &exchange{request: &request, header: request.header.Clone()}
		executor, transport := p.acquireTransport(ctx, endpoint)
		reply, err := transport.RoundTrip(x.newRequest(ctx, endpoint.Addr))
		if err == nil {
			response, err = p.readResponse(reply)
			p.finishExchange(x, transport)
			return response, false, err
		}
		unsent = x.abort()
		if !first || ctx.Err() != nil || !x.isRetryable(unsent, err) {
			return executorResponse{}, unsent, err
		}
		if x.reused {
			p.closeIdle(executor)
		}
	}
}

// finishExchange notes the end of a response and closes its connection if that must carry no further
// request.
func (p *ExecutorPool) finishExchange(x *exchange, transport *pooledTransport) {
	p.markResponse(transport)
	if x.conn != nil && x.conn.isTainted() {
		_ = x.conn.Close()
	}
}
