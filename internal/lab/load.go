package lab

// The clients: open-loop arrivals on an absolute schedule, retries after the advised wait, and the
// result of each call. Latency counts from the intended moment, and no call waits for the one
// before.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load is what clients of one dispatcher send.
type Load struct {
	Rate    float64 // calls per second, retries not counted, Poisson
	Models  int
	Zipf    float64
	Turn    time.Duration // after so long another model stands at a rank, at other moments for each; 0: never
	Retries int
	Seed    uint64
	// From NewAt on, four models in ten stand there in a new version, under a name of its own; zero: never.
	NewAt time.Time
}

// Attempt is one request and its end.
type Attempt struct {
	ID     string
	Sent   time.Time
	Ended  time.Time
	Status int  // 0: no complete answer
	Lost   bool // it was taken by a running dispatcher, and no complete answer came
	Wrong  bool // served with what no worker made for it
	Err    string
	// Crossed reports that at a planned end of the dispatcher the connection was closed as the
	// request was written, and nothing came back. By the protocol a dispatcher may close a
	// connection on which no request is open, and a request that crosses the close is sent again,
	// once, on a new connection; Unanswered checks with the workers whether it was taken after all.
	Crossed bool
}

// Call is a call with all its attempts.
type Call struct {
	Class    int
	Intended time.Time
	Ended    time.Time
	Served   bool
	Attempts []Attempt
	Tenant   string
}

// WeightedValue returns the value that the call earned: all of its priority weight within the
// latency objective, 0.2 of it later, nothing unserved.
func (c *Call) WeightedValue(figures *Figures) float64 {
	class := figures.Classes[c.Class]
	switch {
	case !c.Served:
		return 0
	case c.Ended.Sub(c.Intended) > class.LatencyObjective:
		return 0.2 * class.PriorityWeight
	}
	return class.PriorityWeight
}

// Clients are the clients of one dispatcher.
type Clients struct {
	f    *Figures
	n    int
	addr string
	load Load
	http *http.Client
	anew *http.Client // each request on a new connection
	// Tenant names the tenant of a call by its number; nil: none. Set before Run.
	Tenant func(seq int) string

	mu    sync.Mutex
	calls []*Call
	ends  atomic.Bool   // the dispatcher is at a planned end
	late  time.Duration // the most that a call was sent after its moment
	wait  sync.WaitGroup
}

// NewClients makes the clients of dispatcher number n.
func NewClients(figures *Figures, n int, addr string, l Load) *Clients {
	client := func(keeps bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 128, IdleConnTimeout: 3 * time.Second, DisableKeepAlives: !keeps,
			DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}}
	}
	return &Clients{f: figures, n: n, addr: addr, load: l, http: client(true), anew: client(false)}
}

// Renew has new versions come at a moment, as Load.NewAt says. It must be called before Run.
func (c *Clients) Renew(at time.Time) { c.load.NewAt = at }

// Ending says whether the dispatcher is at a planned end, so that its closes may be crossed.
func (c *Clients) Ending(is bool) { c.ends.Store(is) }

// Run sends until ctx ends, then waits for the last answers.
func (c *Clients) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.load.Seed, uint64(c.n)))
	popular := newZipf(c.load.Models, c.load.Zipf)
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for seq := 0; ; seq++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.load.Rate * float64(time.Second)))
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			c.wait.Wait()
			c.http.CloseIdleConnections()
			return
		case <-timer.C:
		}
		class, at := c.class(rng.Float64()), next
		model := c.load.model(popular.draw(rng.Float64()), next)
		jitter := 0.75 + rng.Float64()/2
		c.mu.Lock()
		c.late = max(c.late, time.Since(at))
		c.mu.Unlock()
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.call(seq, class, model, at, jitter)
		}()
	}
}

func (c *Clients) class(u float64) int {
	for i, k := range c.f.Classes {
		if u -= k.Share; u < 0 {
			return i
		}
	}
	return len(c.f.Classes) - 1
}

const (
	clientWait = 200 * time.Millisecond
	// A close that comes longer after a request was sent did not cross it. The protocol says 50 ms;
	// a busy machine is later.
	clientCross = 200 * time.Millisecond
)

// call sends one call with its retries and records it.
func (c *Clients) call(seq, class int, model uint64, at time.Time, jitter float64) {
	k := c.f.Classes[class]
	call := &Call{Class: class, Intended: at}
	if c.Tenant != nil {
		call.Tenant = c.Tenant(seq)
	}
	end := at.Add(k.ClientTimeout)
	client := c.http
	for n, left := 0, c.load.Retries; left >= 0; n++ {
		id := fmt.Sprintf("%03x%010x%03x", c.n, seq, n)
		attempt, wait := c.attempt(client, id, k.Name, call.Tenant, model, time.Until(end))
		call.Attempts = append(call.Attempts, attempt)
		if client = c.http; attempt.Crossed {
			client = c.anew
			continue
		}
		left--
		if call.Served = attempt.Status == http.StatusOK && !attempt.Wrong; call.Served {
			break
		}
		refused := attempt.Status == http.StatusServiceUnavailable || attempt.Status == http.StatusTooManyRequests ||
			attempt.Status == 0 && !attempt.Lost
		if k.NotIdempotent && !refused {
			break // it may have run
		}
		if wait == 0 {
			wait = time.Duration(float64(clientWait) * jitter)
		}
		if time.Until(end) < wait+k.Work {
			break
		}
		time.Sleep(wait)
	}
	call.Ended = time.Now()
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
}

// attempt sends one request. Status 0 and neither Lost nor Crossed: nothing was sent, or the dispatcher died.
func (c *Clients) attempt(
	client *http.Client, id, class, tenant string, model uint64, timeout time.Duration,
) (t Attempt, wait time.Duration) {
	t = Attempt{ID: id, Sent: time.Now()}
	defer func() { t.Ended = time.Now() }()
	ctx, done := context.WithTimeout(context.Background(), timeout)
	defer done()
	var answered atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { answered.Store(true) }})
	body := []byte("slot " + id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/call/%016x/trigger", c.addr, model), bytes.NewReader(body))
	if err != nil {
		return t, 0
	}
	req.GetBody = nil // no second sending behind our back
	req.Header = http.Header{
		"X-Class": {class}, "X-Call-Id": {id}, "X-Patience-Ms": {strconv.FormatInt(max(1, timeout.Milliseconds()), 10)},
		"X-Extras": {fmt.Sprintf("memory_mb:4000;lanes:%d;load_ms:%d", c.f.Concurrency, c.f.Load.Milliseconds())},
	}
	if tenant != "" {
		req.Header["X-Customer"] = []string{tenant}
	}
	resp, err := client.Do(req)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return t, 0
		}
		t.Err = err.Error()
		t.Crossed = c.ends.Load() && client != c.anew && !answered.Load() && ctx.Err() == nil &&
			time.Since(t.Sent) < clientCross
		t.Lost = !t.Crossed
		return t, 0
	}
	t.Status = resp.StatusCode
	t.Wrong = t.Status == http.StatusOK && string(got) != id+string(body)
	if ms, err := strconv.Atoi(resp.Header.Get("X-Come-Back-Ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	} else if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		wait = time.Duration(s) * time.Second
	}
	return t, wait
}

// Calls returns all calls that have ended so far.
func (c *Clients) Calls() []*Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Call(nil), c.calls...)
}

// MaxLag returns the most by which the generator sent a call later than intended.
func (c *Clients) MaxLag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// zipf draws models by rank: weight 1/(rank+1)^s.
type zipf struct{ sums []float64 }

// newZipf returns the distribution over n ranks with exponent s.
func newZipf(n int, s float64) zipf {
	z := zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	return z
}

// draw returns the rank of a uniform draw u from [0, 1).
func (z zipf) draw(u float64) int {
	u *= z.sums[len(z.sums)-1]
	low, high := 0, len(z.sums)-1
	for low < high {
		if mid := (low + high) / 2; z.sums[mid] < u {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// model is the one that stands at a rank at a moment, the same for all clients.
func (l *Load) model(rank int, at time.Time) uint64 {
	turn := int64(0)
	if l.Turn > 0 {
		turn = (at.UnixNano() + int64(l.Turn)*int64(rank*7%16)/16) / int64(l.Turn)
	}
	model := mix64(uint64(rank)<<40 ^ uint64(turn))
	if l.Renewed(rank) && !l.NewAt.IsZero() && !at.Before(l.NewAt) {
		return mix64(model)
	}
	return model
}

// Renewed reports whether a rank's model comes in a new version.
func (l *Load) Renewed(rank int) bool { return mix64(uint64(rank))%10 < 4 }

// Version is the model at a rank, and the one that stands there from NewAt on.
func (l *Load) Version(rank int) (before, after uint64) {
	return l.model(rank, l.NewAt.Add(-1)), l.model(rank, l.NewAt)
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
