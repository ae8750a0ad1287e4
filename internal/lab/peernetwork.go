package lab

// The datagrams between dispatchers: for each ordered pair a socket of its own, by which the
// receiver knows the sender. What dispatcher i sends to its address of j comes to j from j's
// address of i, late, duplicated or never, but unaltered.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PeerLink is what happens to datagrams on one link. The zero value delivers all of them at once.
type PeerLink struct {
	Lost   float64 // share that never comes
	Twice  float64 // share that comes twice
	Delay  time.Duration
	Jitter time.Duration // up to so much more: what is sent later may come first
}

// Lost loses everything.
var Lost = PeerLink{Lost: 1}

// PeerNetwork carries the datagrams of a run.
type PeerNetwork struct {
	n     int
	peers []*net.UDPAddr // where each dispatcher listens
	socks [][]*net.UDPConn
	wait  sync.WaitGroup

	mu        sync.Mutex
	links     [][]PeerLink
	rng       *rand.Rand
	datagrams []Datagram
	timer     map[*time.Timer]struct{}
	done      bool
}

// Datagram is one that a dispatcher sent.
type Datagram struct {
	At       time.Time
	From, To int
	Bytes    int
}

// StartPeerNetwork opens the links among n dispatchers. addr returns the socket to which i sends
// what is for j, listens holds where each dispatcher listens.
func StartPeerNetwork(n int, addr func(i, j int) string, listens []string, seed uint64) (*PeerNetwork, error) {
	w := &PeerNetwork{n: n, rng: rand.New(rand.NewPCG(seed, 0x776f7264)), timer: map[*time.Timer]struct{}{}}
	for i := range n {
		a, err := net.ResolveUDPAddr("udp", listens[i])
		if err != nil {
			return nil, fmt.Errorf("peer network: %w", err)
		}
		w.peers = append(w.peers, a)
		w.socks = append(w.socks, make([]*net.UDPConn, n))
		w.links = append(w.links, make([]PeerLink, n))
	}
	err := w.eachPair(func(i, j int) (err error) {
		w.socks[i][j], err = listenLoopback(addr(i, j))
		return err
	})
	if err != nil {
		w.Close()
		return nil, err
	}
	_ = w.eachPair(func(i, j int) error {
		w.wait.Go(func() { w.carry(i, j) })
		return nil
	})
	return w, nil
}

// eachPair calls do for each ordered pair of dispatchers until one fails.
func (w *PeerNetwork) eachPair(do func(from, to int) error) error {
	for i := range w.n {
		for j := range w.n {
			if i == j {
				continue
			}
			if err := do(i, j); err != nil {
				return err
			}
		}
	}
	return nil
}

// listenLoopback opens a datagram socket at a loopback address.
func listenLoopback(addr string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer network: %w", err)
	}
	if !a.IP.IsLoopback() {
		return nil, fmt.Errorf("peer network: %s is not a loopback address", a)
	}
	sock, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, fmt.Errorf("peer network: %w", err)
	}
	return sock, nil
}

// Peers is the list of peers as the configuration of dispatcher i names them.
func (w *PeerNetwork) Peers(i int) []string {
	out := make([]string, w.n)
	for j := range w.n {
		if j == i {
			out[j] = w.peers[i].String()
		} else {
			out[j] = w.socks[i][j].LocalAddr().String()
		}
	}
	return out
}

// Set changes the links of all ordered pairs that pick names.
func (w *PeerNetwork) Set(to PeerLink, pick func(from, to int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.eachPair(func(i, j int) error {
		if pick(i, j) {
			w.links[i][j] = to
		}
		return nil
	})
}

// carry passes on what dispatcher i sends to its address of j, until the socket is closed.
func (w *PeerNetwork) carry(i, j int) {
	buf := make([]byte, 2048)
	me := w.peers[i].AddrPort()
	me = netip.AddrPortFrom(me.Addr().Unmap(), me.Port())
	for {
		n, from, err := w.socks[i][j].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != me {
			continue
		}
		w.pass(i, j, append([]byte(nil), buf[:n]...))
	}
}

// pass delivers a datagram as its link says.
func (w *PeerNetwork) pass(i, j int, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	w.datagrams = append(w.datagrams, Datagram{time.Now(), i, j, len(data)})
	x := w.links[i][j]
	times := 1
	if w.rng.Float64() < x.Lost {
		times = 0
	} else if w.rng.Float64() < x.Twice {
		times = 2
	}
	for range times {
		wait := x.Delay
		if x.Jitter > 0 {
			wait += time.Duration(w.rng.Int64N(int64(x.Jitter)))
		}
		deliver := func() { _, _ = w.socks[j][i].WriteToUDP(data, w.peers[j]) }
		if wait <= 0 {
			deliver()
			continue
		}
		var timer *time.Timer
		timer = time.AfterFunc(wait, func() {
			w.mu.Lock()
			delete(w.timer, timer)
			closed := w.done
			w.mu.Unlock()
			if !closed {
				deliver()
			}
		})
		w.timer[timer] = struct{}{}
	}
}

// Datagrams lists what was sent, in order of coming here, also what was lost after.
func (w *PeerNetwork) Datagrams() []Datagram {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Datagram(nil), w.datagrams...)
}

// Close closes all links.
func (w *PeerNetwork) Close() {
	w.mu.Lock()
	w.done = true
	for timer := range w.timer {
		timer.Stop()
	}
	w.mu.Unlock()
	for _, row := range w.socks {
		for _, s := range row {
			if s != nil {
				_ = s.Close()
			}
		}
	}
	w.wait.Wait()
}
