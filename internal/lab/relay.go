package lab

// The links between processes: TCP relays, one for each pair of a dispatcher and a process it
// connects to. A relay can be cut, denied, frozen, reset or delayed for some time, and records the
// connections that it accepted. It connects to loopback addresses only and ends with its run.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Fault is the way in which a link treats connections.
type Fault int

// The faults of a link.
const (
	Open Fault = iota // no fault: everything passes
	// Cut drops handshakes; open connections stay open but nothing passes on them, as in a network
	// partition.
	Cut
	Deny   // connections are refused and open ones reset, as after a process has ended
	Freeze // connections are accepted but nothing passes on them
	Reset  // open connections are reset, and new ones as soon as they are accepted
)

func (f Fault) String() string { return [...]string{"open", "cut", "deny", "freeze", "reset"}[f] }

const relayDialTimeout = 2 * time.Second

// Relay is one link: a listener, and a connection to the target for each accepted connection.
type Relay struct {
	Addr      string
	target    string
	localAddr *net.TCPAddr // local address of connections to the target

	mu           sync.Mutex
	fault        Fault
	delay        time.Duration // of each block of data, in either direction
	changed      chan struct{} // closed at each change
	ln           *net.TCPListener
	backlogConns []net.Conn // fill the accept queue of a cut listener
	conns        map[net.Conn]struct{}
	accepted     []time.Time // when connections were accepted
	closed       bool
	wait         sync.WaitGroup
}

// StartRelay opens a link at addr whose target is to, which must be a loopback address.
func StartRelay(addr, to string) (*Relay, error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", to, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("relay to %s: not a loopback address", to)
	}
	own, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay at %s: %w", addr, err)
	}
	relay := &Relay{
		target: to, localAddr: &net.TCPAddr{IP: own.IP}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	if err := relay.listen(addr); err != nil {
		return nil, err
	}
	relay.Addr = relay.ln.Addr().String()
	return relay, nil
}

// listen opens the listener and begins to accept connections.
func (r *Relay) listen(addr string) error {
	listener, err := listenWithRetry(addr)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	r.ln = listener.(*net.TCPListener)
	r.serve(r.ln)
	return nil
}

// serve accepts connections until the listener is closed or its deadline has passed.
func (r *Relay) serve(ln *net.TCPListener) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			if err != nil { // for example, no file descriptor is free at the moment
				time.Sleep(time.Millisecond)
				continue
			}
			r.wait.Add(1)
			go func() { defer r.wait.Done(); r.forward(conn) }()
		}
	}()
}

// Set sets the fault of the link and the delay of each block of data that passes. On a closed relay
// it does nothing.
func (r *Relay) Set(fault Fault, delay time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	before := r.fault
	r.fault, r.delay = fault, delay
	close(r.changed)
	r.changed = make(chan struct{})
	if fault == Deny || fault == Reset {
		for conn := range r.conns {
			resetConn(conn)
		}
	}
	if fault == before {
		return nil
	}
	if before == Cut {
		r.resumeAccepting()
	}
	if before == Deny {
		if err := r.listen(r.Addr); err != nil {
			return err
		}
	}
	switch fault {
	case Cut:
		return r.dropHandshakes()
	case Deny:
		return r.ln.Close()
	}
	return nil
}

// dropHandshakes stops accepting and fills the listener's accept queue, so that the kernel drops
// every further handshake.
func (r *Relay) dropHandshakes() error {
	if err := r.ln.SetDeadline(time.Unix(1, 0)); err != nil { // stops the accept loop
		return err
	}
	if err := r.setBacklog(0); err != nil {
		return err
	}
	for range 4 {
		conn, err := net.DialTimeout("tcp", r.Addr, 20*time.Millisecond)
		if err != nil {
			break // the queue is full
		}
		r.backlogConns = append(r.backlogConns, conn)
	}
	return nil
}

// resumeAccepting empties the accept queue of a cut listener and begins to accept again.
func (r *Relay) resumeAccepting() {
	for _, conn := range r.backlogConns {
		resetConn(conn)
	}
	r.backlogConns = nil
	_ = r.setBacklog(128)
	_ = r.ln.SetDeadline(time.Time{})
	r.serve(r.ln)
}

// setBacklog sets the length of the listener's accept queue.
func (r *Relay) setBacklog(n int) error {
	raw, err := r.ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

func resetConn(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

// track registers a connection. If the relay is closed or its fault allows no connection, it resets
// the connection and returns false.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.fault == Reset || r.fault == Deny {
		resetConn(conn)
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) untrack(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
}

// waitPassable waits until data may pass the link, and returns the delay. It returns false if the
// relay is closed or its fault resets connections.
func (r *Relay) waitPassable() (time.Duration, bool) {
	for {
		r.mu.Lock()
		fault, delay, changed, closed := r.fault, r.delay, r.changed, r.closed
		r.mu.Unlock()
		switch {
		case closed || fault == Deny || fault == Reset:
			return 0, false
		case fault == Open:
			return delay, true
		}
		<-changed
	}
}

// forward connects to the target for an accepted connection and copies data in both directions
// until one of them ends.
func (r *Relay) forward(conn net.Conn) {
	if !r.track(conn) {
		return
	}
	defer r.untrack(conn)
	r.mu.Lock()
	r.accepted = append(r.accepted, time.Now())
	r.mu.Unlock()
	if _, ok := r.waitPassable(); !ok {
		return
	}
	// The relay's own local address lets the target identify the link.
	onward, err := (&net.Dialer{Timeout: relayDialTimeout, LocalAddr: r.localAddr}).Dial("tcp", r.target)
	if err != nil {
		resetConn(conn)
		return
	}
	if !r.track(onward) {
		return
	}
	defer r.untrack(onward)
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{conn, onward}, {onward, conn}} {
		go func() { r.copyDirection(direction[0], direction[1]); done <- struct{}{} }()
	}
	<-done
	_ = conn.Close()
	_ = onward.Close()
	<-done
}

// copyDirection copies data in one direction, delayed block by block. The end or reset of one side
// reaches the other side only when data may pass the link.
func (r *Relay) copyDirection(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		delay, ok := r.waitPassable()
		if !ok {
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			resetConn(to)
		}
		return
	}
}

// Accepted returns when each connection was accepted.
func (r *Relay) Accepted() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.accepted...)
}

// Close closes the link and resets every connection on it.
func (r *Relay) Close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	_ = r.ln.Close()
	for _, conn := range r.backlogConns {
		_ = conn.Close()
	}
	for conn := range r.conns {
		resetConn(conn)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wait.Wait()
}

// DroppedHandshakes returns how many handshakes the kernel has dropped at full accept queues since
// it started: those at cut links of this run and all others on the machine, as there is no count
// for a single listener. ok reports whether the kernel provides the count.
func DroppedHandshakes() (n int64, ok bool) {
	raw, err := os.ReadFile("/proc/net/netstat")
	if err != nil {
		return 0, false
	}
	lines := strings.Split(string(raw), "\n")
	for i := 0; i+1 < len(lines); i += 2 {
		names, values := strings.Fields(lines[i]), strings.Fields(lines[i+1])
		for k, name := range names {
			if name == "ListenOverflows" && k < len(values) {
				n, err = strconv.ParseInt(values[k], 10, 64)
				return n, err == nil
			}
		}
	}
	return 0, false
}
