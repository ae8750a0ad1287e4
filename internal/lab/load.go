package lab

// The clients: open-loop arrivals on an absolute schedule, retries after the delay that the
// dispatcher advises, and a record of each call. Latency counts from the scheduled time of a call,
// and no call waits for the previous one.

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

// Load describes the calls that the clients of one dispatcher send.
type Load struct {
	Rate             float64       // calls per second without retries, as a Poisson process
	Models           int           // number of models that are called
	Zipf             float64       // exponent of the models' popularity
	PopularityPeriod time.Duration // after this time a rank gets another model, at one of 16 offsets; 0: never
	Retries          int           // per call, beside those of crossed closes
	Seed             uint64
	// NewVersionsAt is the time from which four in ten models are called in a new version, which
	// has its own ID; zero: never.
	NewVersionsAt time.Time
}

// Attempt is one request of a call and its result.
type Attempt struct {
	ID     string
	Sent   time.Time
	Ended  time.Time
	Status int  // HTTP status; 0: no complete response
	Lost   bool // no complete response, for another reason than a refused connection or a crossed close
	Wrong  bool // status 200, but not with the body that a worker returns for it
	Err    string
	// CrossedClose reports that, during a planned stop of the dispatcher, the connection was closed
	// as the request was written, and no byte of a response came. By the protocol a dispatcher may
	// close a connection without an open request, and the client resends a request that crossed the
	// close once, on a new connection. Unanswered checks whether a worker saw the request
	// nevertheless.
	CrossedClose bool
}

// Call is a finished call with all its attempts.
type Call struct {
	Class    int
	Intended time.Time
	Ended    time.Time
	Served   bool
	Attempts []Attempt
	Tenant   string
}

// WeightedValue returns the value of the call: its priority weight if it was served within the
// latency objective, 0.2 of the weight if it was served later, and 0 if it was not served.
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
	f           *Figures
	n           int
	addr        string
	load        Load
	http        *http.Client
	noKeepAlive *http.Client // opens a new connection for each request
	// Tenant returns the tenant of a call by the call's number; nil: none. It must be set before
	// Run.
	Tenant func(seq int) string

	mu       sync.Mutex
	calls    []*Call
	stopping atomic.Bool   // a planned stop of the dispatcher is under way
	maxLag   time.Duration // highest delay of a call behind its scheduled time
	wait     sync.WaitGroup
}

// NewClients returns the clients of dispatcher number n, which listens at addr.
func NewClients(figures *Figures, n int, addr string, l Load) *Clients {
	client := func(keepAlive bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 128, IdleConnTimeout: 3 * time.Second, DisableKeepAlives: !keepAlive,
			DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}}
	}
	return &Clients{f: figures, n: n, addr: addr, load: l, http: client(true), noKeepAlive: client(false)}
}

// SetNewVersionsAt sets the time from which new versions of models are called. It must be called
// before Run.
func (c *Clients) SetNewVersionsAt(at time.Time) { c.load.NewVersionsAt = at }

// SetStopping sets whether a planned stop of the dispatcher is under way, in which requests may
// cross the close of their connection.
func (c *Clients) SetStopping(stopping bool) { c.stopping.Store(stopping) }

// Run sends calls until ctx ends, then waits until all calls have ended.
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
		c.maxLag = max(c.maxLag, time.Since(at))
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
	defaultRetryDelay = 200 * time.Millisecond
	// A close longer than this after the request was sent does not count as crossed. The protocol
	// says 50 ms; the rest allows for delays on a busy machine.
	maxCrossedClose = 200 * time.Millisecond
)

// call sends one call with its retries and records the result.
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
		if client = c.http; attempt.CrossedClose {
			client = c.noKeepAlive
			continue
		}
		left--
		if call.Served = attempt.Status == http.StatusOK && !attempt.Wrong; call.Served {
			break
		}
		refused := attempt.Status == http.StatusServiceUnavailable || attempt.Status == http.StatusTooManyRequests ||
			attempt.Status == 0 && !attempt.Lost
		if k.NotIdempotent && !refused {
			break // a worker may have run it
		}
		if wait == 0 {
			wait = time.Duration(float64(defaultRetryDelay) * jitter)
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

// attempt sends one request and returns its result and the advised delay before a retry, 0 if none.
// Status 0 with neither Lost nor a crossed close means that the connection was refused.
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
	req.GetBody = nil // keeps the transport from resending the request by itself
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
		t.CrossedClose = c.stopping.Load() && client != c.noKeepAlive && !answered.Load() && ctx.Err() == nil &&
			time.Since(t.Sent) < maxCrossedClose
		t.Lost = !t.CrossedClose
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

// Calls returns the calls that have ended so far.
func (c *Clients) Calls() []*Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Call(nil), c.calls...)
}

// MaxLag returns the highest delay between a call's scheduled time and when it was started.
func (c *Clients) MaxLag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxLag
}

// zipf draws ranks with weight 1/(rank+1)^s.
type zipf struct{ sums []float64 }

// newZipf returns the distribution over ranks 0 to n-1 with exponent s.
func newZipf(n int, s float64) zipf {
	z := zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	return z
}

// draw returns the rank for a uniform random number u in [0, 1).
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

// model returns the ID of the model at a popularity rank at the given time. It is the same for all
// clients.
func (l *Load) model(rank int, at time.Time) uint64 {
	turn := int64(0)
	if l.PopularityPeriod > 0 {
		turn = (at.UnixNano() + int64(l.PopularityPeriod)*int64(rank*7%16)/16) / int64(l.PopularityPeriod)
	}
	model := mix64(uint64(rank)<<40 ^ uint64(turn))
	if l.HasNewVersion(rank) && !l.NewVersionsAt.IsZero() && !at.Before(l.NewVersionsAt) {
		return mix64(model)
	}
	return model
}

// HasNewVersion reports whether the model at a rank is one of those that get a new version.
func (l *Load) HasNewVersion(rank int) bool { return mix64(uint64(rank))%10 < 4 }

// Versions returns the IDs of the model at a rank right before NewVersionsAt and at NewVersionsAt.
func (l *Load) Versions(rank int) (before, after uint64) {
	return l.model(rank, l.NewVersionsAt.Add(-1)), l.model(rank, l.NewVersionsAt)
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
