// Package sockets injects faults between a dispatcher and the system's sockets: accepts and
// connects that fail as the manual pages document, reads and writes that are short, interrupted or
// delayed by a shortage.
//
// It implements the interfaces net.Listener and net.Conn inside the process. It shows what the
// program does with the errors, and not that the Go runtime passes them on; datagrams and the
// poller are not covered.
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

// Rates are the shares of calls that fail.
type Rates struct {
	Accept  float64 `json:"accept,omitempty"`
	Connect float64 `json:"connect,omitempty"`
	IO      float64 `json:"io,omitempty"`
	Late    float64 `json:"late,omitempty"` // of connects that come up late, by up to LateMost
}

// LateMost is how late a connection comes up at the most.
const LateMost = time.Second

// Injector makes calls fail at the rates in force. Its methods may be called from many goroutines.
type Injector struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates Rates
}

// New makes an Injector that lets all pass.
func New(seed uint64) *Injector { return &Injector{rng: rand.New(rand.NewPCG(seed, 0x6661756c74))} }

// Set puts rates in force.
func (i *Injector) Set(r Rates) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rates = r
}

// Network is what a dispatcher's sockets go through.
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

// fails draws whether a call fails, and how.
func (i *Injector) fails(rate func(Rates) float64, errs []syscall.Errno) (syscall.Errno, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rng.Float64() >= rate(i.rates) {
		return 0, false
	}
	return errs[i.rng.IntN(len(errs))], true
}

// part draws how much of n bytes goes through before a call is cut short; 0 also.
func (i *Injector) part(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.IntN(n + 1)
}

// lateness draws how late a connection comes up.
func (i *Injector) lateness() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rng.Float64() >= i.rates.Late {
		return 0
	}
	return time.Duration(i.rng.Int64N(int64(LateMost)))
}

func asSystem(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

// listener is a net.Listener whose accepts fail as the plan says.
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

// Accept fails before it takes a connection, which stays with the kernel.
func (l *listener) Accept() (net.Conn, error) {
	if errno, fails := l.faults.fails(func(r Rates) float64 { return r.Accept }, acceptErrors); fails {
		return nil, asSystem("accept", errno)
	}
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.faults.conn(c), nil
}

// dial wraps a dial function: some connects fail, others come up late.
func (i *Injector) dial(next platform.DialFunc) platform.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := i.fails(func(r Rates) float64 { return r.Connect }, connectErrors); fails {
			return nil, asSystem("connect", errno)
		}
		c, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		select {
		case <-time.After(i.lateness()):
		case <-ctx.Done():
			_ = c.Close()
			return nil, ctx.Err()
		}
		return i.conn(c), nil
	}
}

// conn is a connection whose reads and writes may be short. Only the plain methods of a connection are shown, so that
// nothing goes past them.
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

// SyscallConn lets the program ask the kernel what lies unread.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Read reads from the connection; when a fault is drawn, fewer bytes than asked for, or none with an
// error of the system.
func (c *conn) Read(b []byte) (int, error) {
	errno, fails := c.faults.fails(func(r Rates) float64 { return r.IO }, ioErrors)
	if !fails || len(b) == 0 {
		return c.Conn.Read(b)
	}
	if n := c.faults.part(min(len(b), 16)); n > 0 {
		return c.Conn.Read(b[:n])
	}
	return 0, asSystem("read", errno)
}

// Write writes to the connection; when a fault is drawn, a part of the bytes with an error of the
// system.
func (c *conn) Write(b []byte) (int, error) {
	errno, fails := c.faults.fails(func(r Rates) float64 { return r.IO }, ioErrors)
	if !fails || len(b) == 0 {
		return c.Conn.Write(b)
	}
	n := c.faults.part(len(b) - 1)
	if n > 0 {
		var err error
		if n, err = c.Conn.Write(b[:n]); err != nil {
			return n, err
		}
	}
	return n, asSystem("write", errno)
}

// Window is a time in which rates are in force.
type Window struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	Rates Rates     `json:"rates"`
}

// Follow puts the windows' rates in force when their time comes.
func (i *Injector) Follow(ws []Window) {
	for _, w := range ws {
		if !w.Until.After(time.Now()) {
			continue
		}
		time.AfterFunc(time.Until(w.From), func() { i.Set(w.Rates) })
		time.AfterFunc(time.Until(w.Until), func() { i.Set(Rates{}) })
	}
}
