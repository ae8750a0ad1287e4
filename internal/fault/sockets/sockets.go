// Package sockets injects faults between a dispatcher and the system's sockets: accepts and
// connects that fail with errors documented in the manual pages, connects that complete late, and
// reads and writes that are short, interrupted or fail for lack of memory or buffers.
//
// It implements net.Listener and net.Conn inside the process. So it tests how the program handles
// the errors, but not whether the Go runtime passes them on; datagrams and the poller are not
// covered.
package sockets

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"oakthread/internal/platform"
)

// Rates are the shares of socket calls that fail, from 0 to 1.
type Rates struct {
	Accept         float64 `json:"accept,omitempty"`
	Connect        float64 `json:"connect,omitempty"`
	IO             float64 `json:"io,omitempty"`
	DelayedConnect float64 `json:"late,omitempty"` // share of connects that are delayed, by up to MaxConnectDelay
}

// MaxConnectDelay is the upper limit of the delay of a connect.
const MaxConnectDelay = time.Second

// Injector makes socket calls fail at the current rates. It is safe for concurrent use.
type Injector struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates Rates
}

// New returns an Injector that injects no faults until rates are set. seed seeds its random
// choices.
func New(seed uint64) *Injector { return &Injector{rng: rand.New(rand.NewPCG(seed, 0x6661756c74))} }

// Set replaces the current rates.
func (i *Injector) Set(r Rates) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rates = r
}

// Network returns listener and dial wrappers that inject the faults.
func (i *Injector) Network() platform.Network {
	return platform.Network{Listener: i.listener, Dial: i.dial}
}

var (
	acceptErrors = []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ECONNABORTED, syscall.EINTR,
	}
	connectErrors = []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH,
		syscall.EAGAIN, syscall.EPERM,
	}
	ioErrors = []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}
)

// drawError decides at random whether a call fails and with which error.
func (i *Injector) drawError(rate func(Rates) float64, errs []syscall.Errno) (syscall.Errno, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rng.Float64() >= rate(i.rates) {
		return 0, false
	}
	return errs[i.rng.IntN(len(errs))], true
}

// drawLength returns how many of n bytes a short call transfers, from 0 to n.
func (i *Injector) drawLength(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.IntN(n + 1)
}

// drawConnectDelay returns the delay of a connect, 0 for one that is not delayed.
func (i *Injector) drawConnectDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rng.Float64() >= i.rates.DelayedConnect {
		return 0
	}
	return time.Duration(i.rng.Int64N(int64(MaxConnectDelay)))
}

func syscallError(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

// listener is a net.Listener whose accepts fail at the current rate.
type listener struct {
	*net.TCPListener
	faults *Injector
}

func (i *Injector) listener(ln net.Listener) net.Listener {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return ln
	}
	return &listener{tcp, i}
}

// Accept fails before it accepts a connection, which stays in the kernel's queue.
func (l *listener) Accept() (net.Conn, error) {
	if errno, fails := l.faults.drawError(func(r Rates) float64 { return r.Accept }, acceptErrors); fails {
		return nil, syscallError("accept", errno)
	}
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.faults.conn(c), nil
}

// dial wraps a dial function: some connects fail, others are delayed.
func (i *Injector) dial(next platform.DialFunc) platform.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := i.drawError(func(r Rates) float64 { return r.Connect }, connectErrors); fails {
			return nil, syscallError("connect", errno)
		}
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		select {
		case <-time.After(i.drawConnectDelay()):
		case <-ctx.Done():
			_ = c.Close()
			return nil, ctx.Err()
		}
		return i.conn(c), nil
	}
}

// conn is a connection whose reads and writes may be short. Apart from SyscallConn it has only the
// methods of net.Conn, so that no ReadFrom or WriteTo bypasses the faults.
type conn struct {
	net.Conn
	raw    *net.TCPConn
	faults *Injector
}

func (i *Injector) conn(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &conn{c, tcp, i}
}

// SyscallConn lets the program query the kernel for unread bytes.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Read reads from the connection. On an injected fault it reads at most 16 bytes, or none and
// returns a system error.
func (c *conn) Read(b []byte) (int, error) {
	errno, fails := c.faults.drawError(func(r Rates) float64 { return r.IO }, ioErrors)
	if !fails || len(b) == 0 {
		return c.Conn.Read(b)
	}
	if n := c.faults.drawLength(min(len(b), 16)); n > 0 {
		return c.Conn.Read(b[:n])
	}
	return 0, syscallError("read", errno)
}

// Write writes to the connection. On an injected fault it writes fewer bytes than given, possibly
// none, and returns a system error.
func (c *conn) Write(b []byte) (int, error) {
	errno, fails := c.faults.drawError(func(r Rates) float64 { return r.IO }, ioErrors)
	if !fails || len(b) == 0 {
		return c.Conn.Write(b)
	}
	n := c.faults.drawLength(len(b) - 1)
	if n > 0 {
		var err error
		if n, err = c.Conn.Write(b[:n]); err != nil {
			return n, err
		}
	}
	return n, syscallError("write", errno)
}

// Window is a time during which its rates apply.
type Window struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	Rates Rates     `json:"rates"`
}

// Schedule applies the rates of each window from its From on, and removes all faults at its Until.
func (i *Injector) Schedule(ws []Window) {
	for _, w := range ws {
		if !w.Until.After(time.Now()) {
			continue
		}
		time.AfterFunc(time.Until(w.From), func() { i.Set(w.Rates) })
		time.AfterFunc(time.Until(w.Until), func() { i.Set(Rates{}) })
	}
}
