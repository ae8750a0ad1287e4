package soak

// The clients: raw connections on which requests are written and answers read, and a record of each
// request. Whether a rule was broken is decided by the oracle alone.

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

// End is how a request ended for its client.
type End string

// Ends of a request.
const (
	NotSent    End = "not sent"    // no connection, or it ended before the last byte was written
	Answered   End = "answered"    // a complete answer came
	Cut        End = "cut"         // a part of an answer came
	Closed     End = "closed"      // the connection ended, and nothing came
	Overdue    End = "overdue"     // nothing came in time
	Left       End = "left"        // the client left before
	Incomplete End = "never whole" // the client did not write all of it
)

// Request is the record of one request.
type Request struct {
	ID      string        `json:"id"`
	Node    int           `json:"node"`
	Class   int           `json:"class"`
	Reused  bool          `json:"reused"` // its connection had carried another before
	Sent    time.Time     `json:"sent"`   // before its first byte
	SentAt  time.Time     `json:"whole"`  // when its last byte was written
	Timeout time.Duration `json:"patience"`
	Ended   time.Time     `json:"ended"`
	End     End           `json:"end"`
	Status  int           `json:"status"`
	Wrong   bool          `json:"wrong"` // served with what no executor made for it
	Second  bool          `json:"second"`
	LeftAt  time.Time     `json:"left_at"`
	Err     string        `json:"err,omitempty"`
}

// behaviour is what the clients of a node do, each by a share of their calls.
type behaviour struct {
	Leave, Dawdle, Retry, Brief float64
}

const (
	late                  = 500 * time.Millisecond // an answer so much past its time earns nothing; later it is lost
	readSlack             = 300 * time.Millisecond // for this machine, beyond that
	dialTime              = time.Second
	maxIdleConns          = 16
	slowRequestTime       = 900 * time.Millisecond // in pieces, but within the front's time for a head and a body
	incompleteRequestTime = 4 * time.Second
	briefTime             = 60 * time.Millisecond // at the most, for clients in a hurry
	keepFor               = 3500 * time.Millisecond
	crowdPause            = 100 * time.Millisecond // on the mean, between two calls of a client in a crowd
)

// Clients are the clients of one dispatcher.
type Clients struct {
	node    int
	addr    string
	figures *lab.Figures
	rate    float64
	models  int
	rng     *rand.Rand

	mu      sync.Mutex
	how     behaviour
	idle    []*clientConn
	records []*Request
	seq     atomic.Int64
	wait    sync.WaitGroup
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

// behave changes what the clients do from now on.
func (c *Clients) behave(change func(*behaviour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.how)
}

// Records are the requests so far; complete once run has returned.
func (c *Clients) Records() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Request(nil), c.records...)
}

// run sends calls at random moments until ctx ends, then waits for the last answers.
func (c *Clients) run(ctx context.Context) {
	defer func() {
		c.wait.Wait()
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
		c.wait.Go(func() { c.call(call) })
	}
}

// plannedCall is a call as it was drawn.
type plannedCall struct {
	class     int
	model     uint64
	timeout   time.Duration
	leave     time.Duration // after its last byte; 0: the client stays
	leaveMode int           // of leaving
	dawdle    int           // 0: not; 1: in pieces; 2: never complete
	retry     bool
	fresh     bool // on a new connection
}

// drawCall draws the next call; the caller holds mu.
func (c *Clients) drawCall() plannedCall {
	planned := plannedCall{
		class: len(c.figures.Classes) - 1, model: 0x7f00 + uint64(c.rng.IntN(c.models)),
		fresh: c.rng.IntN(4) == 0,
	}
	u := c.rng.Float64()
	for i, k := range c.figures.Classes {
		if u -= k.Share; u < 0 {
			planned.class = i
			break
		}
	}
	planned.timeout = c.figures.Classes[planned.class].ClientTimeout
	if c.rng.Float64() < c.how.Brief {
		planned.timeout = time.Millisecond + time.Duration(c.rng.Int64N(int64(briefTime)))
	}
	if c.rng.Float64() < c.how.Leave {
		planned.leave, planned.leaveMode = time.Duration(1+c.rng.Int64N(int64(250*time.Millisecond))), c.rng.IntN(3)
	}
	if c.rng.Float64() < c.how.Dawdle {
		planned.dawdle = 1 + c.rng.IntN(2)
	}
	planned.retry = c.rng.Float64() < c.how.Retry
	return planned
}

// call makes a call and what follows from it: one that crossed the close of an idle connection is
// sent again, once, and a refused one by clients that come again at once.
func (c *Clients) call(planned plannedCall) {
	request := c.send(planned)
	if request.End == Closed && request.Reused && request.Ended.Sub(request.SentAt) < crossed {
		planned.fresh = true
		request = c.send(planned)
	}
	for runs := 0; planned.retry && runs < 3 && request.End == Answered && refused(request.Status); runs++ {
		planned.fresh = true
		request = c.send(planned)
	}
}

func refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// connection is an idle one, or a new one.
func (c *Clients) connection(fresh bool) (*clientConn, bool, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0 && !fresh; n = len(c.idle) {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(k.used) < keepFor {
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

// giveBack returns a connection to the pool; a full pool closes the one that is idle for longest.
func (c *Clients) giveBack(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.used = time.Now()
	if len(c.idle) >= maxIdleConns {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, conn)
}

// send makes one request and records it.
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
	request.Sent = time.Now()
	conn, reused, err := c.connection(planned.fresh)
	if err != nil {
		request.Err = err.Error()
		return request
	}
	request.Reused, request.Sent = reused, time.Now()
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
	request.SentAt = time.Now()
	if planned.leave > 0 {
		time.AfterFunc(planned.leave, func() { leave(conn.Conn, planned.leaveMode) })
	}
	c.read(conn, request, planned, body)
	return request
}

// write writes a request, in pieces where the client dawdles; false: not all of it was written.
func (c *Clients) write(conn *clientConn, request *Request, planned plannedCall, text string) bool {
	if planned.dawdle == 0 {
		if _, err := io.WriteString(conn, text); err != nil {
			request.Err = err.Error()
			return false
		}
		return true
	}
	const pieces = 4
	for i := range pieces {
		if planned.dawdle == 2 && i == pieces-1 {
			request.End = Incomplete
			_ = conn.SetReadDeadline(time.Now().Add(incompleteRequestTime))
			_, _ = io.Copy(io.Discard, conn) // until the dispatcher ends it
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

// leave ends a client's side: closed, reset, or only for sending.
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

// read reads the answer.
func (c *Clients) read(conn *clientConn, request *Request, planned plannedCall, body string) {
	_ = conn.SetReadDeadline(request.SentAt.Add(planned.timeout + late + readSlack))
	//nolint:bodyclose // read up to its end below; the connection is its caller's
	resp, err := http.ReadResponse(conn.in, nil)
	var got []byte
	if err == nil {
		request.Status = resp.StatusCode
		got, err = io.ReadAll(resp.Body)
	}
	if planned.leave > 0 && time.Since(request.SentAt) >= planned.leave {
		request.End, request.LeftAt = Left, request.SentAt.Add(planned.leave)
		_ = conn.Close()
		return
	}
	switch {
	case err == nil:
		request.End = Answered
	case errors.Is(err, os.ErrDeadlineExceeded):
		request.End = Overdue
	case request.Status != 0 || conn.in.Buffered() > 0:
		request.End = Cut
	default:
		request.End = Closed
	}
	if err != nil {
		request.Err = err.Error()
		_ = conn.Close()
		return
	}
	request.Wrong = request.Status == http.StatusOK && string(got) != request.ID+body
	request.Second = conn.in.Buffered() > 0
	if resp.Close || planned.leave > 0 || request.Second {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.giveBack(conn)
}

// burst has so many clients ask one call after the other until ctx ends, each on a new connection.
func (c *Clients) burst(ctx context.Context, clients int) {
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			for ctx.Err() == nil {
				c.mu.Lock()
				planned := c.drawCall()
				c.mu.Unlock()
				planned.fresh = true
				c.send(planned)
			}
		})
	}
	wait.Wait()
}

// crowd has further clients ask one call after the other until ctx ends, on connections that they keep,
// also while the dispatcher ends.
func (c *Clients) crowd(ctx context.Context, clients int) {
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			for ctx.Err() == nil {
				c.mu.Lock()
				planned := c.drawCall()
				pause := time.Duration(c.rng.Int64N(int64(2 * crowdPause)))
				c.mu.Unlock()
				planned.fresh = false
				c.send(planned)
				time.Sleep(pause)
			}
		})
	}
	wait.Wait()
}

// flood opens connections that say nothing and closes them when ctx ends.
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
