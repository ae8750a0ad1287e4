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
	beforeWrite  func() bool // called right before the first byte is written; nil: always allowed
}

// setBudget sets X-Budget, in milliseconds, in a head that is about to be written.
func (r *executorRequest) setBudget(head http.Header) {
	if !r.deadline.IsZero() {
		head.Set(budgetHeader, strconv.FormatInt(rules.RemainingMillis(time.Until(r.deadline)), 10))
	}
}

// mayWrite decides, right before the first byte is written, whether the request may be written with
// the budget that was set at budgetTime.
func (r *executorRequest) mayWrite(budgetTime time.Time) rules.Reason {
	write := rules.Write{Revoked: r.beforeWrite != nil && !r.beforeWrite()}
	if !r.deadline.IsZero() {
		write.BudgetAge = time.Since(budgetTime)
	}
	return rules.MayWrite(write)
}

// nonReplayableBody returns a body that http.Transport can neither rewind nor treat as absent, so
// that it never resends a request on its own, which could run the call twice. An empty PUT or
// DELETE does not need such a body: http.Transport does not resend it, and with such a body would
// send it in chunks.
func nonReplayableBody(method string, body []byte) io.ReadCloser {
	if len(body) == 0 && method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

// exchange is one try to write a request and read its response on one connection.
type exchange struct {
	request       *executorRequest
	header        http.Header
	conn          *executorConn // nil until the transport has assigned one
	reused        bool          // conn has carried requests before
	writtenBefore int64         // bytes written on conn before this request
}

// newRequest returns the request for the transport, with handleGotConn as its trace hook.
func (x *exchange) newRequest(ctx context.Context, addr string) *http.Request {
	request := &http.Request{
		Method: x.request.method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: x.request.path}, Host: addr,
		Header: x.header, Body: nonReplayableBody(x.request.method, x.request.body),
		ContentLength: int64(len(x.request.body)),
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.handleGotConn}))
}

// handleGotConn records the connection that the transport has assigned and sets the budget, before
// the transport writes the head. The budget is not set earlier because establishing the connection
// may have taken long.
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

// abort closes the connection of a failed exchange, so that the transport can write nothing more on
// it, and reports whether no byte of the request was written.
func (x *exchange) abort() (unsent bool) {
	if x.conn == nil {
		return true
	}
	_ = x.conn.Close()
	return x.conn.bytesWritten.Load() == x.writtenBefore
}

// isRetryable reports whether a failed exchange may be retried on another connection: the connect
// was reset, or the connection failed before any of the request was written, for example because
// the executor closed an idle connection or reset a new one.
func (x *exchange) isRetryable(unsent bool, err error) bool {
	if x.conn == nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	return unsent
}

// roundTrip writes one request and reads its whole response. It retries once, on another
// connection, if no byte of the request was written on the first and isRetryable allows it. unsent
// reports that no byte of the request was written. Whether the request may be written is decided
// right before its first byte; a connection that is established too late for the request is kept
// for the next one.
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

// finishExchange records the end of a response and closes its connection if that must carry no
// further request.
func (p *ExecutorPool) finishExchange(x *exchange, transport *pooledTransport) {
	p.markResponse(transport)
	if x.conn != nil && x.conn.isTainted() {
		_ = x.conn.Close()
	}
}
