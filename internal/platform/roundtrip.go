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

const (
	maxResponseBytes         = 1 << 20                // bytes of an executor's answer
	initialResponseBuffer    = 16 << 10               // up to here an answer is not counted
	maxBufferedResponseBytes = 4 << 20                // bytes of all greater answers together
	maxIdlePerTransport      = 64                     // a burst's connections are kept: a handshake costs both sides more than a socket
	idleTimeoutRatio         = 0.6                    // of the time after which an executor closes an idle connection, we do
	minIdleTime              = 100 * time.Millisecond // a connection used later than this does not give way
	reuseDelay               = 10 * time.Millisecond  // after an answer, before the next request: what belongs to none shows by then
	maxQueuedRequests        = 8                      // requests that wait for a connection to an executor to settle
	maxTransportsPerExecutor = 16                     // Transports for one executor
	unusedTransportsTTL      = time.Minute            // an executor's Transports that nothing uses

	budgetHeader = "X-Budget" // milliseconds that the client has left
)

// executorRequest is one request to an executor.
type executorRequest struct {
	method, path string
	header       http.Header
	body         []byte
	deadline     time.Time   // what is left up to then is told as X-Budget; zero: nothing is told
	beforeWrite  func() bool // asked right before the first byte is written; nil: no need to ask
}

// setBudget words what is left in a head that is about to be written.
func (g *executorRequest) setBudget(head http.Header) {
	if !g.deadline.IsZero() {
		head.Set(budgetHeader, strconv.FormatInt(rules.RemainingMillis(time.Until(g.deadline)), 10))
	}
}

// mayWrite is asked right before the first byte of a message worded at a time.
func (g *executorRequest) mayWrite(worded time.Time) rules.Reason {
	w := rules.Write{Revoked: g.beforeWrite != nil && !g.beforeWrite()}
	if !g.deadline.IsZero() {
		w.BudgetAge = time.Since(worded)
	}
	return rules.MayWrite(w)
}

// nonReplayableBody is a body that http.Transport can neither rewind nor take for absent, so that it never sends a
// request a second time on its own: a repeat would be a second booking. A PUT or DELETE is not repeated anyway,
// and with such an empty body would be sent in chunks.
func nonReplayableBody(method string, b []byte) io.ReadCloser {
	if len(b) == 0 && method != http.MethodGet {
		return http.NoBody
	}
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}

// roundTrip writes one request and reads its whole answer. unsent: nothing of the request was written. Whether it may be written
// is asked right before its first byte is, and a connection that comes up late stays for the next.
func (f *ExecutorPool) roundTrip(ctx context.Context, m oakthread.Endpoint, g executorRequest) (resp *http.Response, got []byte, unsent bool, err error) {
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return nil, nil, true, ctx.Err()
		}
		var c *executorConn
		var before int64
		reused := false
		head := g.header.Clone()
		req := &http.Request{
			Method: g.method, URL: &url.URL{Scheme: "http", Host: m.Addr, Opaque: g.path}, Host: m.Addr,
			Header: head, Body: nonReplayableBody(g.method, g.body), ContentLength: int64(len(g.body)),
		}
		gotConn := func(i httptrace.GotConnInfo) {
			if c, _ = i.Conn.(*executorConn); c == nil {
				return
			}
			before, reused = c.bytesWritten.Load(), i.Reused
			// What is left is told now that the connection is there, and not before: it may come up late. http.Transport
			// writes the head after this call.
			worded := time.Now()
			g.setBudget(head)
			c.mu.Lock()
			c.mayWrite = func() rules.Reason { return g.mayWrite(worded) }
			c.mu.Unlock()
		}
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: gotConn}))
		l, x := f.acquireTransport(ctx, m)
		resp, err = x.RoundTrip(req)
		if err == nil {
			got, err = f.readBody(resp)
			resp.Body.Close()
			f.mu.Lock()
			x.lastResponse = time.Now()
			f.mu.Unlock()
			if c != nil && c.isTainted() {
				_ = c.Close()
			}
			return resp, got, false, err
		}
		if c != nil {
			_ = c.Close() // nothing is written on it any more, whatever goes on in the Transport
		}
		unsent = c == nil || c.bytesWritten.Load() == before
		// The executor had closed an idle connection, or reset a new one, before anything was written on it: another
		// will do.
		if try == 0 && ctx.Err() == nil && (c != nil && unsent || c == nil && errors.Is(err, syscall.ECONNRESET)) {
			if reused {
				f.mu.Lock()
				l.closeIdle()
				f.mu.Unlock()
			}
			continue
		}
		return nil, nil, unsent, err
	}
}
