package lab

// A stub of the discovery service: the command channel of the platform's protocol, with outages,
// delayed and duplicate events, and changes of epoch that restart the event numbers. Every
// dispatcher gets every event after the number that it resumes from.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ListEntry is the entry of one worker in discovery's list. UpSince is in Unix milliseconds.
type ListEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Flavor  string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`
}

// The phases of a listed worker. A worker that is published as Removed leaves the list.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Removed     = "Gone"
)

// Discovery is a stub of the service that lists the workers. Every dispatcher has its own listener,
// so that Discovery can record which events each dispatcher was sent.
type Discovery struct {
	// DuplicateEvents makes Discovery send every event twice.
	DuplicateEvents bool
	// HeartbeatInterval is the interval of heartbeats, which carry the last event number;
	// 0 means 1 s.
	HeartbeatInterval time.Duration
	// Route returns the address at which dispatcher n reaches a worker, for runs with relays in
	// between; nil means the worker's own address. It must be set before use.
	Route func(n int, worker ListEntry) string

	mu         sync.Mutex
	epoch      string
	events     [][]ListEntry  // the first has number 1
	announced  map[string]int // by worker ID, the number of the event that announced its current phase
	state      map[string]ListEntry
	down       bool
	held       bool // new events are withheld, heartbeats continue
	heldCursor int  // number of the last event that it sends while held
	heldState  map[string]ListEntry
	ports      []*discoveryListener
	changed    chan struct{} // closed at each change
	wait       sync.WaitGroup
}

// discoveryListener is the listener that serves one dispatcher.
type discoveryListener struct {
	n        int // number of the dispatcher
	addr     string
	ln       net.Listener
	conns    map[net.Conn]struct{}
	notified map[int]time.Time // by event number, when the event was first sent to this dispatcher
}

// NewDiscovery returns a Discovery without workers and listeners, in the given epoch.
func NewDiscovery(epoch string) *Discovery {
	return &Discovery{
		epoch: epoch, announced: map[string]int{}, state: map[string]ListEntry{},
		changed: make(chan struct{}),
	}
}

// Listen opens a listener at addr for the next dispatcher and returns that dispatcher's number,
// counted from 0.
func (d *Discovery) Listen(addr string) (n int, err error) {
	listener, err := listenWithRetry(addr)
	if err != nil {
		return 0, fmt.Errorf("discovery: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &discoveryListener{
		n: len(d.ports), addr: listener.Addr().String(), ln: listener, conns: map[net.Conn]struct{}{},
		notified: map[int]time.Time{},
	}
	d.ports = append(d.ports, p)
	d.serve(p, listener)
	return len(d.ports) - 1, nil
}

// Addr returns the address at which dispatcher n connects to Discovery.
func (d *Discovery) Addr(n int) string { d.mu.Lock(); defer d.mu.Unlock(); return d.ports[n].addr }

// serve accepts connections until the listener is closed.
func (d *Discovery) serve(p *discoveryListener, listener net.Listener) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // for example, no file descriptor is free at the moment
				time.Sleep(10 * time.Millisecond)
				continue
			}
			d.mu.Lock()
			if d.down {
				d.mu.Unlock()
				_ = conn.Close()
				continue
			}
			p.conns[conn] = struct{}{}
			d.mu.Unlock()
			d.wait.Add(1)
			go func() {
				defer d.wait.Done()
				d.serveConn(p, conn)
				_ = conn.Close()
				d.mu.Lock()
				delete(p.conns, conn)
				d.mu.Unlock()
			}()
		}
	}()
}

// Publish adds one event with the changed workers. The first event of an epoch must hold the full
// list: it is sent as complete.
func (d *Discovery) Publish(workers ...ListEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(workers)
}

// publish adds an event with the given workers. The caller holds d.mu.
func (d *Discovery) publish(workers []ListEntry) {
	n := len(d.events) + 1
	for _, entry := range workers {
		d.announced[entry.ID] = n
		if entry.Phase == Removed {
			delete(d.state, entry.ID)
		} else {
			d.state[entry.ID] = entry
		}
	}
	d.events = append(d.events, slices.Clone(workers))
	close(d.changed)
	d.changed = make(chan struct{})
}

// line returns event i+1 as it is sent to dispatcher n.
func (d *Discovery) line(n, i int) string {
	raw, err := json.Marshal(d.event(n, i+1, i == 0, slices.Clone(d.events[i])))
	if err != nil {
		panic(err) // strings and finite numbers can always be encoded
	}
	return string(raw) + "\n"
}

// event returns the event with the given workers as it is sent to dispatcher n. Where Route is set,
// it replaces the addresses in workers by those that Route returns.
func (d *Discovery) event(n, cursor int, complete bool, workers []ListEntry) map[string]any {
	if d.Route != nil {
		for k := range workers {
			workers[k].Addr = d.Route(n, workers[k])
		}
	}
	return map[string]any{
		"cursor": cursor, "epoch": d.epoch,
		"nodes": map[string]any{"revision": cursor, "complete": complete, "members": workers},
	}
}

// Snapshot returns the current list as a single event, for the configuration of dispatcher n. It
// records all events up to that list as sent to the dispatcher now.
func (d *Discovery) Snapshot(n int) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.state
	if d.held {
		state = d.heldState
	}
	all := slices.SortedFunc(maps.Values(state), func(a, b ListEntry) int { return strings.Compare(a.ID, b.ID) })
	for i := range d.last() {
		if _, was := d.ports[n].notified[i+1]; !was {
			d.ports[n].notified[i+1] = time.Now()
		}
	}
	return map[string]any{"cursor": d.last(), "cmds": []any{d.event(n, d.last(), true, all)}}
}

// StartEpoch begins a new epoch, whose first event has number 1 and holds the full list. It closes
// all connections.
func (d *Discovery) StartEpoch(epoch string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []ListEntry
	for _, entry := range d.state {
		all = append(all, entry)
	}
	d.epoch, d.events, d.announced = epoch, nil, map[string]int{}
	for _, port := range d.ports {
		port.notified = map[int]time.Time{}
		for conn := range port.conns {
			_ = conn.Close()
		}
	}
	d.publish(all)
}

// Hold withholds new events, or ends that. While held, Discovery sends no event published after the
// call, and its heartbeats repeat the number of the last event before it.
func (d *Discovery) Hold(held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held, d.heldCursor, d.heldState = held, len(d.events), maps.Clone(d.state)
	close(d.changed)
	d.changed = make(chan struct{})
}

// last returns the number of the last event that may be sent. The caller holds d.mu.
func (d *Discovery) last() int {
	if d.held {
		return min(d.heldCursor, len(d.events))
	}
	return len(d.events)
}

// Down closes all listeners and connections and waits until their goroutines have ended. Up ends
// the outage; the events are kept.
func (d *Discovery) Down() {
	d.mu.Lock()
	d.down = true
	for _, port := range d.ports {
		_ = port.ln.Close()
		for conn := range port.conns {
			_ = conn.Close()
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
	d.wait.Wait()
}

// Up reopens all listeners at their addresses.
func (d *Discovery) Up() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = false
	for _, port := range d.ports {
		listener, err := net.Listen("tcp", port.addr)
		if err != nil {
			return fmt.Errorf("discovery: reopen listener: %w", err)
		}
		port.ln = listener
		d.serve(port, listener)
	}
	return nil
}

// serveConn serves one connection: it answers the resume line with the epoch, then sends events as
// they are published and the last event number as a heartbeat.
func (d *Discovery) serveConn(p *discoveryListener, conn net.Conn) {
	line, err := bufio.NewReader(conn).ReadString('\n')
	text, ok := strings.CutPrefix(strings.TrimSpace(line), "resume ")
	from, parseErr := strconv.Atoi(text)
	if err != nil || !ok || parseErr != nil {
		return
	}
	interval := d.HeartbeatInterval
	if interval == 0 {
		interval = time.Second
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	d.mu.Lock()
	hello := fmt.Sprintf("{\"cursor\":%d,\"epoch\":%q}\n", min(from, d.last()), d.epoch)
	d.mu.Unlock()
	if _, err := conn.Write([]byte(hello)); err != nil {
		return
	}
	for first := true; ; first = false {
		events, last, changed, up := d.eventsFrom(p, from)
		if !up {
			return
		}
		from = max(from, last)
		if first {
			events += fmt.Sprintf("%d\n", last)
		}
		if _, err := conn.Write([]byte(events)); err != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			if _, err := fmt.Fprintf(conn, "{\"cursor\":%d}\n", last); err != nil {
				return
			}
		}
	}
}

// eventsFrom returns the lines of the events after number from, and records them as sent to the
// dispatcher of p. last is the number of the last event that may be sent; changed is closed at the
// next change; up is false while Discovery is down.
func (d *Discovery) eventsFrom(
	p *discoveryListener, from int,
) (events string, last int, changed <-chan struct{}, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return "", 0, nil, false
	}
	var out strings.Builder
	for ; from < d.last(); from++ {
		line := d.line(p.n, from)
		out.WriteString(line)
		if d.DuplicateEvents {
			out.WriteString(line)
		}
		if _, was := p.notified[from+1]; !was {
			p.notified[from+1] = time.Now()
		}
	}
	return out.String(), d.last(), d.changed, true
}

// NotifiedAt returns when dispatcher n was first sent the current phase of a worker, or the zero
// time if it was not.
func (d *Discovery) NotifiedAt(n int, id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ports[n].notified[d.announced[id]]
}

// notifiedTimes returns when each dispatcher was first sent the current phase of a worker.
// Dispatchers that were not sent it are absent.
func notifiedTimes(d *Discovery, dispatchers int, id string) map[int]time.Time {
	notified := map[int]time.Time{}
	for i := range dispatchers {
		if t := d.NotifiedAt(i, id); !t.IsZero() {
			notified[i] = t
		}
	}
	return notified
}
