package ingress

import "time"

const (
	// burst is the number of requests that a connection may send without a pause.
	burst = 10
	// maxRate and minRate bound the rate, in requests per second, at which a connection that sends
	// one request after the other gets them handled.
	maxRate = 100
	minRate = 5
	// sharedRate is the rate, in requests per second, that all connections at their limit share. There a
	// request counts once more for each weightBytes of its body.
	sharedRate  = 2000
	weightBytes = 4 << 10

	// The protocol has one request at a time on a connection. For requests that arrive before the
	// one in front of them has its answer, the rates are lower, and each takes pipelinedCost of the
	// burst.
	maxPipelinedRate    = 20
	minPipelinedRate    = 0.5
	sharedPipelinedRate = 200
	pipelinedCost       = 4
	// sharedPipelinedBurst is the number of such requests that all connections together may send
	// without a pause, and maxPipelinedWait limits the wait for their shared rate.
	sharedPipelinedBurst = 50
	maxPipelinedWait     = 2 * time.Second

	// activityWindow is how long a connection that had to wait counts as one that does.
	activityWindow = time.Second
)

// Pacer limits the rate of requests of each connection, and of pipelined ones of all connections
// together, with token buckets. Without it, a connection
// that always has another request to read occupies a thread until the scheduler preempts it, and
// delays every other request at each of its goroutines.
type Pacer struct {
	began    time.Time // when the first activityWindow began
	window   int64     // number of the current activityWindow
	waiting  int       // connections that had to wait in the current window
	previous int       // the same in the window before

	pipelined bucket // of all connections
}

// Flow is the state of one connection.
type Flow struct {
	bucket

	window int64 // in which the connection had to wait last
}

// NewPacer returns a Pacer whose first window begins now.
func NewPacer(now time.Time) Pacer {
	return Pacer{began: now, window: 1, pipelined: bucket{tokens: sharedPipelinedBurst, last: now}}
}

// NewFlow returns the state of a connection that is opened now.
func NewFlow(now time.Time) Flow { return Flow{bucket: bucket{tokens: burst, last: now}} }

// Request is what a request's wait depends on.
type Request struct {
	Pipelined bool  // it arrived before the request in front of it was answered
	BodyBytes int64 // length of its body
}

// weight returns the number of small requests that a request counts as.
func (r Request) weight() float64 { return float64(1 + r.BodyBytes/weightBytes) }

// Next returns how long the next request of a connection waits before it is handled.
func (p *Pacer) Next(now time.Time, flow *Flow, request Request) (wait time.Duration) {
	sharing := p.sharing(now)
	if request.Pipelined {
		rate := min(max(sharedPipelinedRate/sharing, minPipelinedRate), maxPipelinedRate)
		wait = max(flow.wait(now, rate, pipelinedCost), p.sharedPipelinedWait(now))
	} else {
		weight := request.weight()
		rate := min(max(sharedRate/sharing, minRate)/weight, maxRate)
		wait = flow.wait(now, rate, weight)
	}
	if wait > 0 && flow.window != p.window {
		flow.window = p.window
		p.waiting++
	}
	return wait
}

// wait returns how long a request waits for the rate of its connection. It takes cost of the burst while
// that lasts, so that expensive requests use it up sooner, and one token after that.
func (f *Flow) wait(now time.Time, rate, cost float64) time.Duration {
	f.refill(now, rate, burst)
	if f.tokens > cost {
		return f.take(now, rate, burst, cost)
	}
	return f.take(now, rate, burst, 1)
}

// sharedPipelinedWait returns how long a pipelined request waits for the rate of all of them.
func (p *Pacer) sharedPipelinedWait(now time.Time) time.Duration {
	wait := p.pipelined.take(now, sharedPipelinedRate, sharedPipelinedBurst, 1)
	if wait > maxPipelinedWait { // requests of connections that have closed since are not waited for
		p.pipelined.tokens = -sharedPipelinedRate * maxPipelinedWait.Seconds()
		return maxPipelinedWait
	}
	return wait
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
