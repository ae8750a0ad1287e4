package soak

// The clients: they write requests to raw connections, read the answers and record each request.
// Only the oracle decides whether a rule was violated.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/lab"
)

// End is the way in which a request ended for its client.
type End string

// Ends of a request.
const (
	NotSent    End = "not sent"    // no connection, or it failed before the last byte was written
	Answered   End = "answered"    // a complete answer was received
	Truncated  End = "cut"         // only a part of an answer was received
	Closed     End = "closed"      // the connection ended without an answer
	Overdue    End = "overdue"     // no complete answer within the client's timeout and slack
	Left       End = "left"        // the client left before the answer
	Incomplete End = "never whole" // the client did not send the complete request
)

// Request is the record of one request.
type Request struct {
	ID           string        `json:"id"`
	Node         int           `json:"node"`
	Class        int           `json:"class"`
	Reused       bool          `json:"reused"` // its connection had carried an earlier request
	SendStart    time.Time     `json:"sent"`   // before its first byte was written
	SendEnd      time.Time     `json:"whole"`  // when its last byte was written
	Timeout      time.Duration `json:"patience"`
	Ended        time.Time     `json:"ended"`
	End          End           `json:"end"`
	Status       int           `json:"status"`
	WrongBody    bool          `json:"wrong"` // status 200 with a body that no executor produced for it
	Body         string        `json:"body"`  // of an answer with WrongBody
	SecondAnswer bool          `json:"second"`
	LeftAt       time.Time     `json:"left_at"`
	Err          string        `json:"err,omitempty"`
}

// behaviour holds the shares of calls, from 0 to 1, that show each kind of client behaviour.
type behaviour struct {
	Leave, SlowSend, Retry, ShortTimeout float64
}

const (
	lateAnswerSlack       = 500 * time.Millisecond // an answer up to this late earns nothing, a later one is lost
	readSlack             = 300 * time.Millisecond // beyond that, for a busy machine
	dialTime              = time.Second
	maxIdleConns          = 16
	slowRequestTime       = 900 * time.Millisecond // of a request in pieces; within the dispatcher's limit
	incompleteRequestTime = 4 * time.Second
	maxShortTimeout       = 60 * time.Millisecond // for clients with a short timeout
	maxIdleTime           = 3500 * time.Millisecond
	crowdPause            = 100 * time.Millisecond // mean pause between two calls of a crowd client
)

// Clients simulates the clients of one dispatcher.
type Clients struct {
	node    int
	addr    string
	figures *lab.Figures
	rate    float64
	models  int
	rng     *rand.Rand

	mu        sync.Mutex
	behaviour behaviour
	idle      []*clientConn
	records   []*Request
	seq       atomic.Int64
	calls     sync.WaitGroup
}

// clientConn is a pooled connection of a client.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used time.Time
}

func newClients(node int, addr string, f *lab.Figures, rate float64, seed uint64) *Clients {
	return &Clients{
		node: node, addr: addr, figures: f, rate: rate, models: 120,
		rng: rand.New(rand.NewPCG(seed, uint64(node)+1)),
	}
}

// changeBehaviour changes the behaviour of later calls.
func (c *Clients) changeBehaviour(change func(*behaviour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.behaviour)
}

// Records returns the requests that have ended so far; all of them once run has returned.
func (c *Clients) Records() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Request(nil), c.records...)
}

// run sends calls as a Poisson process until ctx ends, then waits for the last answers.
func (c *Clients) run(ctx context.Context) {
	defer func() {
		c.calls.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, conn := range c.idle {
			_ = conn.Close()
		}
		c.idle = nil
	}()
	next := time.Now()
	for {
		c.mu.Lock()
		next = next.Add(time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second)))
		call := c.drawCall()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		c.calls.Go(func() { c.call(call) })
	}
}

// plannedCall holds the randomly drawn properties of a call.
type plannedCall struct {
	class      int
	model      uint64
	timeout    time.Duration
	leaveAfter time.Duration // after its last byte; 0: the client waits for the answer
	leaveMode  int           // see leave
	slowSend   int           // 0: no; 1: sent slowly in pieces; 2: the last piece is never sent
	retry      bool
	newConn    bool // on a new connection
}

// drawCall draws the next call; the caller holds mu.
func (c *Clients) drawCall() plannedCall {
	planned := plannedCall{
		class: len(c.figures.Classes) - 1, model: 0x7f00 + uint64(c.rng.IntN(c.models)),
		newConn: c.rng.IntN(4) == 0,
	}
	u := c.rng.Float64()
	for i, k := range c.figures.Classes {
		if u -= k.Share; u < 0 {
			planned.class = i
			break
		}
	}
	planned.timeout = c.figures.Classes[planned.class].ClientTimeout
	if c.rng.Float64() < c.behaviour.ShortTimeout {
		planned.timeout = time.Millisecond + time.Duration(c.rng.Int64N(int64(maxShortTimeout)))
	}
	if c.rng.Float64() < c.behaviour.Leave {
		planned.leaveAfter, planned.leaveMode = time.Duration(1+c.rng.Int64N(int64(250*time.Millisecond))),
			c.rng.IntN(3)
	}
	if c.rng.Float64() < c.behaviour.SlowSend {
		planned.slowSend = 1 + c.rng.IntN(2)
	}
	planned.retry = c.rng.Float64() < c.behaviour.Retry
	return planned
}

// call sends a call. If the dispatcher closed an idle connection at the moment of the request, the
// call is sent again, once, on a new connection. With planned.retry a refused call is sent again at
// once, up to three times.
func (c *Clients) call(planned plannedCall) {
	request := c.send(planned)
	if request.End == Closed && request.Reused && request.Ended.Sub(request.SendEnd) < closeRaceWindow {
		planned.newConn = true
		request = c.send(planned)
	}
	for runs := 0; planned.retry && runs < 3 && request.End == Answered && refused(request.Status); runs++ {
		planned.newConn = true
		request = c.send(planned)
	}
}

func refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// acquireConn returns an idle connection, or a new one if fresh is set or none is usable, and
// whether it was used before.
func (c *Clients) acquireConn(fresh bool) (*clientConn, bool, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0 && !fresh; n = len(c.idle) {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(k.used) < maxIdleTime {
			c.mu.Unlock()
			return k, true, nil
		}
		_ = k.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, dialTime)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, false, nil
}

// releaseConn returns a connection to the pool; a full pool closes its longest idle connection.
func (c *Clients) releaseConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.used = time.Now()
	if len(c.idle) >= maxIdleConns {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// send sends one request, reads the answer and records the request.
func (c *Clients) send(planned plannedCall) *Request {
	request := &Request{
		ID: fmt.Sprintf("%03x%013x", c.node, c.seq.Add(1)), Node: c.node, Class: planned.class,
		Timeout: planned.timeout, End: NotSent,
	}
	defer func() {
		request.Ended = time.Now()
		c.mu.Lock()
		c.records = append(c.records, request)
		c.mu.Unlock()
	}()
	request.SendStart = time.Now()
	conn, reused, err := c.acquireConn(planned.newConn)
	if err != nil {
		request.Err = err.Error()
		return request
	}
	request.Reused, request.SendStart = reused, time.Now()
	body := "slot " + request.ID
	head := fmt.Sprintf("POST /call/%016x/trigger HTTP/1.1\r\nHost: origin.svc\r\nX-Class: %s\r\nX-Call-Id: "+
		"%s\r\nX-Patience-Ms: %d\r\n"+
		"X-Extras: memory_mb:4000;lanes:%d;load_ms:%d\r\nContent-Length: %d\r\n\r\n%s", planned.model,
		c.figures.Classes[planned.class].Name, request.ID,
		max(1, planned.timeout.Milliseconds()), c.figures.Concurrency, c.figures.Load.Milliseconds(), len(body), body)
	if !c.write(conn, request, planned, head) {
		_ = conn.Close()
		return request
	}
	request.SendEnd = time.Now()
	if planned.leaveAfter > 0 {
		time.AfterFunc(planned.leaveAfter, func() { leave(conn.Conn, planned.leaveMode) })
	}
	c.read(conn, request, planned, body)
	return request
}

// write writes a request, in pieces for a slow sender, and reports whether all of it was written.
func (c *Clients) write(conn *clientConn, request *Request, planned plannedCall, text string) bool {
	if planned.slowSend == 0 {
		if _, err := io.WriteString(conn, text); err != nil {
			request.Err = err.Error()
			return false
		}
		return true
	}
	const pieces = 4
	for i := range pieces {
		if planned.slowSend == 2 && i == pieces-1 {
			request.End = Incomplete
			_ = conn.SetReadDeadline(time.Now().Add(incompleteRequestTime))
			_, _ = io.Copy(io.Discard, conn) // until the dispatcher closes the connection
			return false
		}
		if _, err := io.WriteString(conn, text[len(text)*i/pieces:len(text)*(i+1)/pieces]); err != nil {
			request.Err = err.Error()
			return false
		}
		if i < pieces-1 {
			time.Sleep(slowRequestTime / pieces)
		}
	}
	return true
}

// leave closes a connection, resets it (mode 1) or shuts down only its sending side (mode 2).
func leave(conn net.Conn, mode int) {
	t, ok := conn.(*net.TCPConn)
	switch {
	case mode == 1 && ok:
		_ = t.SetLinger(0)
		_ = conn.Close()
	case mode == 2 && ok:
		_ = t.CloseWrite()
	default:
		_ = conn.Close()
	}
}

// read reads the answer and records how the request ended.
func (c *Clients) read(conn *clientConn, request *Request, planned plannedCall, body string) {
	_ = conn.SetReadDeadline(request.SendEnd.Add(planned.timeout + lateAnswerSlack + readSlack))
	//nolint:bodyclose // read up to its end below; the connection is its caller's
	resp, err := http.ReadResponse(conn.in, nil)
	var got []byte
	if err == nil {
		request.Status = resp.StatusCode
		got, err = io.ReadAll(resp.Body)
	}
	if planned.leaveAfter > 0 && time.Since(request.SendEnd) >= planned.leaveAfter {
		request.End, request.LeftAt = Left, request.SendEnd.Add(planned.leaveAfter)
		_ = conn.Close()
		return
	}
	switch {
	case err == nil:
		request.End = Answered
	case errors.Is(err, os.ErrDeadlineExceeded):
		request.End = Overdue
	case request.Status != 0 || conn.in.Buffered() > 0:
		request.End = Truncated
	default:
		request.End = Closed
	}
	if err != nil {
		request.Err = err.Error()
		_ = conn.Close()
		return
	}
	if request.Status == http.StatusOK && string(got) != request.ID+body {
		request.WrongBody, request.Body = true, string(got)
	}
	request.SecondAnswer = conn.in.Buffered() > 0
	if resp.Close || planned.leaveAfter > 0 || request.SecondAnswer {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.releaseConn(conn)
}

// burst runs clients that send call after call until ctx ends, each call on a new connection.
func (c *Clients) burst(ctx context.Context, clients int) {
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			for ctx.Err() == nil {
				c.mu.Lock()
				planned := c.drawCall()
				c.mu.Unlock()
				planned.newConn = true
				c.send(planned)
			}
		})
	}
	wait.Wait()
}

// crowd runs further clients that send call after call until ctx ends, on connections that they
// keep, even while the dispatcher shuts down.
func (c *Clients) crowd(ctx context.Context, clients int) {
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			for ctx.Err() == nil {
				c.mu.Lock()
				planned := c.drawCall()
				pause := time.Duration(c.rng.Int64N(int64(2 * crowdPause)))
				c.mu.Unlock()
				planned.newConn = false
				c.send(planned)
				time.Sleep(pause)
			}
		})
	}
	wait.Wait()
}

// flood opens n connections, sends nothing on them and closes them when ctx ends.
func (c *Clients) flood(ctx context.Context, n int) {
	var conns []net.Conn
	for range n {
		if conn, err := net.DialTimeout("tcp", c.addr, dialTime); err == nil {
			conns = append(conns, conn)
		}
		if ctx.Err() != nil {
			break
		}
	}
	<-ctx.Done()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
