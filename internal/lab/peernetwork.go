package lab

// The datagrams between dispatchers. Each ordered pair of dispatchers has its own socket, so that
// the receiver can identify the sender by its address. A datagram that dispatcher i sends to the
// address it has for j arrives at j from the address that j has for i. It may be delayed,
// duplicated or lost, but is never altered.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PeerLink describes how one link treats datagrams. The zero value delivers all without delay.
type PeerLink struct {
	Lost   float64 // share of datagrams that is lost, 0 to 1
	Twice  float64 // share of the others that is delivered twice, 0 to 1
	Delay  time.Duration
	Jitter time.Duration // highest random addition to Delay, which may reorder datagrams
}

// DropAll is a link that drops every datagram.
var DropAll = PeerLink{Lost: 1}

// PeerNetwork carries the datagrams between the dispatchers of a run.
type PeerNetwork struct {
	n     int
	peers []*net.UDPAddr   // the addresses at which the dispatchers listen
	conns [][]*net.UDPConn // [i][j] receives from i what is for j, and sends to i what is from j
	wait  sync.WaitGroup

	mu        sync.Mutex
	links     [][]PeerLink
	rng       *rand.Rand
	datagrams []Datagram
	timers    map[*time.Timer]struct{}
	closed    bool
}

// Datagram records a datagram that dispatcher From sent to dispatcher To. At is when the peer
// network received it.
type Datagram struct {
	At       time.Time
	From, To int
	Bytes    int
}

// StartPeerNetwork opens the links between n dispatchers. addr returns the address of the socket to
// which dispatcher i sends datagrams for j; it must be a loopback address. listens holds the
// address at which each dispatcher listens. seed determines losses, duplicates and jitter.
func StartPeerNetwork(n int, addr func(i, j int) string, listens []string, seed uint64) (*PeerNetwork, error) {
	w := &PeerNetwork{n: n, rng: rand.New(rand.NewPCG(seed, 0x776f7264)), timers: map[*time.Timer]struct{}{}}
	for i := range n {
		a, err := net.ResolveUDPAddr("udp", listens[i])
		if err != nil {
			return nil, fmt.Errorf("peer network: %w", err)
		}
		w.peers = append(w.peers, a)
		w.conns = append(w.conns, make([]*net.UDPConn, n))
		w.links = append(w.links, make([]PeerLink, n))
	}
	err := w.eachPair(func(i, j int) (err error) {
		w.conns[i][j], err = listenLoopback(addr(i, j))
		return err
	})
	if err != nil {
		w.Close()
		return nil, err
	}
	_ = w.eachPair(func(i, j int) error {
		w.wait.Go(func() { w.forward(i, j) })
		return nil
	})
	return w, nil
}

// eachPair calls do for each ordered pair of dispatchers until a call returns an error.
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

// listenLoopback opens a UDP socket at addr, which must be a loopback address.
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

// Peers returns the addresses of all dispatchers, by number, for the configuration of dispatcher i.
func (w *PeerNetwork) Peers(i int) []string {
	out := make([]string, w.n)
	for j := range w.n {
		if j == i {
			out[j] = w.peers[i].String()
		} else {
			out[j] = w.conns[i][j].LocalAddr().String()
		}
	}
	return out
}

// Set sets the links of all ordered pairs of dispatchers for which pick returns true.
func (w *PeerNetwork) Set(link PeerLink, pick func(from, to int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.eachPair(func(i, j int) error {
		if pick(i, j) {
			w.links[i][j] = link
		}
		return nil
	})
}

// forward delivers the datagrams that dispatcher i sends to its address for j, until the socket is
// closed. It ignores datagrams from any other sender.
func (w *PeerNetwork) forward(i, j int) {
	buf := make([]byte, 2048)
	sender := w.peers[i].AddrPort()
	sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
	for {
		n, from, err := w.conns[i][j].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != sender {
			continue
		}
		w.deliver(i, j, append([]byte(nil), buf[:n]...))
	}
}

// deliver records a datagram from i to j and delivers it as the link between them requires.
func (w *PeerNetwork) deliver(i, j int, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.datagrams = append(w.datagrams, Datagram{time.Now(), i, j, len(data)})
	link := w.links[i][j]
	copies := 1
	if w.rng.Float64() < link.Lost {
		copies = 0
	} else if w.rng.Float64() < link.Twice {
		copies = 2
	}
	for range copies {
		wait := link.Delay
		if link.Jitter > 0 {
			wait += time.Duration(w.rng.Int64N(int64(link.Jitter)))
		}
		send := func() { _, _ = w.conns[j][i].WriteToUDP(data, w.peers[j]) }
		if wait <= 0 {
			send()
			continue
		}
		var timer *time.Timer
		timer = time.AfterFunc(wait, func() {
			w.mu.Lock()
			delete(w.timers, timer)
			closed := w.closed
			w.mu.Unlock()
			if !closed {
				send()
			}
		})
		w.timers[timer] = struct{}{}
	}
}

// Datagrams returns the datagrams that the dispatchers sent, in the order in which they were
// received here, including those that were then lost.
func (w *PeerNetwork) Datagrams() []Datagram {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Datagram(nil), w.datagrams...)
}

// Close closes all links. It drops the datagrams that are still delayed.
func (w *PeerNetwork) Close() {
	w.mu.Lock()
	w.closed = true
	for timer := range w.timers {
		timer.Stop()
	}
	w.mu.Unlock()
	for _, row := range w.conns {
		for _, s := range row {
			if s != nil {
				_ = s.Close()
			}
		}
	}
	w.wait.Wait()
}
