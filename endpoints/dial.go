package endpoints

// This file owns when and where discovery is asked again. It must never let many dispatchers that lost it together
// come back together.

import (
	"math/rand/v2"
	"time"
)

const (
	dialFirst = 100 * time.Millisecond
	dialMost  = 5 * time.Second
)

// Dialer names the discovery address to ask next, in turn, and the wait before: full jitter over an exponential bound
// ("Exponential Backoff And Jitter", AWS Architecture Blog, 2015). Make one with NewDialer.
type Dialer struct {
	addrs []string
	next  int
	last  int
	fails int
	most  time.Duration
	rng   *rand.Rand
}

// NewDialer asks the addresses in the order given, from a place that differs by seed.
func NewDialer(addrs []string, seed uint64) *Dialer {
	d := &Dialer{addrs: addrs, most: dialMost, rng: rand.New(rand.NewPCG(seed, 0x6469616c))}
	if len(addrs) > 1 {
		d.next = d.rng.IntN(len(addrs))
	}
	return d
}

// Within bounds the wait between two tries.
func (d *Dialer) Within(most time.Duration) *Dialer {
	d.most = most
	return d
}

// Move has one other address asked instead of all, at once.
func (d *Dialer) Move(addr string) { d.addrs, d.next, d.last, d.fails = []string{addr}, 0, 0, 0 }

// Next is the address to ask, and the wait before it. The first round over all addresses has no backoff but a jitter.
func (d *Dialer) Next() (addr string, wait time.Duration) {
	if len(d.addrs) == 0 {
		return "", dialMost
	}
	d.last = d.next % len(d.addrs)
	addr = d.addrs[d.last]
	d.next = d.last + 1
	if d.fails == 0 {
		return addr, 0
	}
	rounds := min((d.fails-1)/len(d.addrs), 20)
	bound := min(dialFirst<<rounds, d.most)
	return addr, time.Duration(d.rng.Int64N(int64(bound) + 1))
}

// Failed and Good take what became of the last address asked.
func (d *Dialer) Failed() { d.fails++ }

// Good ends the backoff; the same address is asked first again.
func (d *Dialer) Good() {
	d.fails = 0
	d.next = d.last
}
