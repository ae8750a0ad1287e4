package endpoints

import (
	"math/rand/v2"
	"time"
)

const (
	// minDialBackoff and maxDialBackoff bound the backoff between connection attempts to service
	// discovery.
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 5 * time.Second

	// maxBackoffDoublings bounds the exponent of the backoff so that the shift does not overflow.
	maxBackoffDoublings = 20

	// dialerStream separates the dialer's random numbers from those of other components with the
	// same seed.
	dialerStream = 0x6469616c
)

// Dialer selects the next service discovery address to connect to and how long to wait before the
// attempt. The wait is an exponential backoff with full jitter, so that dispatchers that lost their
// connections at the same time do not all reconnect at the same time ("Exponential Backoff And
// Jitter", AWS Architecture Blog, 2015). Create one with NewDialer. It is not safe for concurrent
// use.
type Dialer struct {
	addrs      []string
	next       int // index of the address to return next
	last       int // index of the address returned last
	failures   int // since the last success
	maxBackoff time.Duration
	rng        *rand.Rand
}

// NewDialer returns a Dialer that cycles through addrs in order, starting at a random one.
func NewDialer(addrs []string, seed uint64) *Dialer {
	d := &Dialer{addrs: addrs, maxBackoff: maxDialBackoff, rng: rand.New(rand.NewPCG(seed, dialerStream))}
	if len(addrs) > 1 {
		d.next = d.rng.IntN(len(addrs))
	}
	return d
}

// WithMaxBackoff sets the maximum backoff, 5 s by default, and returns the Dialer.
func (d *Dialer) WithMaxBackoff(maxBackoff time.Duration) *Dialer {
	d.maxBackoff = maxBackoff
	return d
}

// Redirect replaces the addresses with addr, which Next then returns without a wait.
func (d *Dialer) Redirect(addr string) { d.addrs, d.next, d.last, d.failures = []string{addr}, 0, 0, 0 }

// Next returns the address to connect to and the wait before the attempt. The wait is zero unless a
// connection failed since the last success. The backoff doubles with each round of failures over
// all addresses. Without addresses Next returns an empty one and a wait of 5 s.
func (d *Dialer) Next() (addr string, wait time.Duration) {
	if len(d.addrs) == 0 {
		return "", maxDialBackoff
	}
	d.last = d.next % len(d.addrs)
	addr = d.addrs[d.last]
	d.next = d.last + 1
	if d.failures == 0 {
		return addr, 0
	}
	doublings := min((d.failures-1)/len(d.addrs), maxBackoffDoublings)
	backoff := min(minDialBackoff<<doublings, d.maxBackoff)
	return addr, time.Duration(d.rng.Int64N(int64(backoff) + 1))
}

// Failed records that the connection to the last address failed.
func (d *Dialer) Failed() { d.failures++ }

// Succeeded records that the connection to the last address succeeded. It resets the backoff, and
// Next returns the same address again.
func (d *Dialer) Succeeded() {
	d.failures = 0
	d.next = d.last
}
