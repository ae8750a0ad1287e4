package ingress

import "time"

const (
	// burst is the number of requests that a connection may send without a pause.
	burst = 10
	// maxRate and minRate bound the rate, in requests per second, at which a connection that sends
	// one request after the other gets them handled.
	maxRate = 100
	minRate = 5
	// sharedRate is the rate, in requests per second, that all connections at their limit share.
	sharedRate = 2000

	// The protocol has one request at a time on a connection. For requests that arrive before the
	// one in front of them has its answer, the rates are lower, and each takes pipelinedCost of the
	// burst.
	maxPipelinedRate    = 20
	minPipelinedRate    = 0.5
	sharedPipelinedRate = 200
	pipelinedCost       = 4

	// activityWindow is how long a connection that had to wait counts as one that does.
	activityWindow = time.Second
)

// Pacer limits the rate of requests of each connection with a token bucket. Without it, a connection
// that always has another request to read occupies a thread until the scheduler preempts it, and
// delays every other request at each of its goroutines.
type Pacer struct {
	began    time.Time // when the first activityWindow began
	window   int64     // number of the current activityWindow
	waiting  int       // connections that had to wait in the current window
	previous int       // the same in the window before
}

// Flow is the state of one connection.
type Flow struct {
	tokens float64
	last   time.Time // of the latest request
	window int64     // in which the connection had to wait last
}

// NewPacer returns a Pacer whose first window begins now.
func NewPacer(now time.Time) Pacer { return Pacer{began: now, window: 1} }

// NewFlow returns the state of a connection that is opened now.
func NewFlow(now time.Time) Flow { return Flow{tokens: burst, last: now} }

// Next returns how long the next request of a connection waits before it is handled. pipelined
// means that it arrived before the request in front of it was answered.
func (p *Pacer) Next(now time.Time, flow *Flow, pipelined bool) (wait time.Duration) {
	sharing := p.sharing(now)
	rate, cost := min(max(sharedRate/sharing, minRate), maxRate), 1.0
	if pipelined {
		rate = min(max(sharedPipelinedRate/sharing, minPipelinedRate), maxPipelinedRate)
	}
	flow.tokens = min(burst, flow.tokens+rate*now.Sub(flow.last).Seconds())
	if pipelined && flow.tokens > pipelinedCost {
		cost = pipelinedCost
	}
	flow.tokens -= cost
	flow.last = now
	if flow.tokens >= 0 {
		return 0
	}
	if flow.window != p.window {
		flow.window = p.window
		p.waiting++
	}
	return time.Duration(-flow.tokens / rate * float64(time.Second))
}

// sharing returns the number of connections at their limit, at least 1.
func (p *Pacer) sharing(now time.Time) float64 {
	if window := 1 + int64(now.Sub(p.began)/activityWindow); window != p.window {
		p.previous = p.waiting
		if window != p.window+1 {
			p.previous = 0
		}
		p.window, p.waiting = window, 0
	}
	return float64(max(p.waiting, p.previous, 1))
}
