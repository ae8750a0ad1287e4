package lab

// The stand-in discovery: the command channel of the platform's protocol, with outages, late and
// duplicate events, and numberings that start over. Every dispatcher gets every event that it has
// not had.

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

// Listed is the entry of one worker in discovery's list.
type Listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Room    string  `json:"locality"`
	Flavor  string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`
}

// Phases of a listed worker.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Removed     = "Gone"
)

// Discovery stands in for the service that knows the workers. Every dispatcher has a listener of
// its own, so that it is known which dispatcher was notified of what.
type Discovery struct {
	// Double has every event sent twice. Heart is the pace of lines with the last number; 0: 1 s.
	Double bool
	Heart  time.Duration
	// Route returns where dispatcher n reaches a worker, for runs with relays between; nil: the
	// worker's own address. It is set before use.
	Route func(n int, box Listed) string

	mu        sync.Mutex
	epoch     string
	lines     [][]Listed     // from number 1
	announced map[string]int // id: number of the event that announced its present phase
	state     map[string]Listed
	down      bool
	held      bool // it is cut off from what it knows: events wait, heartbeats go on
	told      int  // number of the last event that it passes on while held
	toldState map[string]Listed
	ports     []*port
	changed   chan struct{} // closed at each change
	wait      sync.WaitGroup
}

// port is the listener of one dispatcher.
type port struct {
	n        int // of the dispatcher
	addr     string
	ln       net.Listener
	conns    map[net.Conn]struct{}
	notified map[int]time.Time // event: when it was written here first
}

// NewDiscovery returns a discovery that knows no workers.
func NewDiscovery(epoch string) *Discovery {
	return &Discovery{
		epoch: epoch, announced: map[string]int{}, state: map[string]Listed{},
		changed: make(chan struct{}),
	}
}

// Listen opens the listener of dispatcher number n at addr.
func (d *Discovery) Listen(addr string) (n int, err error) {
	listener, err := listenAgain(addr)
	if err != nil {
		return 0, fmt.Errorf("discovery: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &port{
		n: len(d.ports), addr: listener.Addr().String(), ln: listener, conns: map[net.Conn]struct{}{},
		notified: map[int]time.Time{},
	}
	d.ports = append(d.ports, p)
	d.serve(p, listener)
	return len(d.ports) - 1, nil
}

// Addr is where dispatcher n listens to it.
func (d *Discovery) Addr(n int) string { d.mu.Lock(); defer d.mu.Unlock(); return d.ports[n].addr }

// serve accepts connections on a port until its listener is closed.
func (d *Discovery) serve(p *port, listener net.Listener) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // such as no descriptor left for the moment
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
				d.speak(p, conn)
				_ = conn.Close()
				d.mu.Lock()
				delete(p.conns, conn)
				d.mu.Unlock()
			}()
		}
	}()
}

// Publish makes one event of changed workers; the first event holds the full list.
func (d *Discovery) Publish(workers ...Listed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(workers)
}

// publish makes an event of workers. The caller holds d.mu.
func (d *Discovery) publish(workers []Listed) {
	n := len(d.lines) + 1
	for _, entry := range workers {
		d.announced[entry.ID] = n
		if entry.Phase == Removed {
			delete(d.state, entry.ID)
		} else {
			d.state[entry.ID] = entry
		}
	}
	d.lines = append(d.lines, slices.Clone(workers))
	close(d.changed)
	d.changed = make(chan struct{})
}

// line is event i+1 as dispatcher n reads it.
func (d *Discovery) line(n, i int) string {
	raw, err := json.Marshal(d.event(n, i+1, i == 0, slices.Clone(d.lines[i])))
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(raw) + "\n"
}

// event returns what dispatcher n reads of workers, whose addresses it replaces by those of the
// links.
func (d *Discovery) event(n, cursor int, complete bool, workers []Listed) map[string]any {
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

// Known returns all that is known as one event for the configuration of dispatcher n, which counts
// as notified of it from now on.
func (d *Discovery) Known(n int) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.state
	if d.held {
		state = d.toldState
	}
	all := slices.SortedFunc(maps.Values(state), func(a, entry Listed) int { return strings.Compare(a.ID, entry.ID) })
	for i := range d.last() {
		if _, was := d.ports[n].notified[i+1]; !was {
			d.ports[n].notified[i+1] = time.Now()
		}
	}
	return map[string]any{"cursor": d.last(), "cmds": []any{d.event(n, d.last(), true, all)}}
}

// StartOver begins a new numbering under another epoch, with the full list as its first event.
func (d *Discovery) StartOver(epoch string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Listed
	for _, entry := range d.state {
		all = append(all, entry)
	}
	d.epoch, d.lines, d.announced = epoch, nil, map[string]int{}
	for _, port := range d.ports {
		port.notified = map[int]time.Time{}
		for conn := range port.conns {
			_ = conn.Close()
		}
	}
	d.publish(all)
}

// Hold cuts discovery off from what it knows, or ends that: while held it passes on no further event,
// and its heartbeats go on with the number of the last one that it passed on.
func (d *Discovery) Hold(held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held, d.told, d.toldState = held, len(d.lines), maps.Clone(d.state)
	close(d.changed)
	d.changed = make(chan struct{})
}

// last returns the number of the last event that it passes on. The caller holds d.mu.
func (d *Discovery) last() int {
	if d.held {
		return min(d.told, len(d.lines))
	}
	return len(d.lines)
}

// Down takes it off all its addresses; Up brings it back with all that it knows.
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

// Up opens all its listeners again.
func (d *Discovery) Up() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = false
	for _, port := range d.ports {
		listener, err := net.Listen("tcp", port.addr)
		if err != nil {
			return fmt.Errorf("discovery comes back: %w", err)
		}
		port.ln = listener
		d.serve(port, listener)
	}
	return nil
}

// speak serves one connection: it answers the resume line with the epoch, and then writes events as
// they come and the last number at the pace of Heart.
func (d *Discovery) speak(p *port, conn net.Conn) {
	line, err := bufio.NewReader(conn).ReadString('\n')
	text, ok := strings.CutPrefix(strings.TrimSpace(line), "resume ")
	from, parseErr := strconv.Atoi(text)
	if err != nil || !ok || parseErr != nil {
		return
	}
	heart := d.Heart
	if heart == 0 {
		heart = time.Second
	}
	ticker := time.NewTicker(heart)
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

// eventsFrom returns the lines of the events after number from, and notes that the dispatcher of
// the port is notified of them. last is the number of the last event, changed is closed at the next
// change; up is false while discovery is down.
func (d *Discovery) eventsFrom(p *port, from int) (events string, last int, changed <-chan struct{}, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return "", 0, nil, false
	}
	var out strings.Builder
	for ; from < d.last(); from++ {
		line := d.line(p.n, from)
		out.WriteString(line)
		if d.Double {
			out.WriteString(line)
		}
		if _, was := p.notified[from+1]; !was {
			p.notified[from+1] = time.Now()
		}
	}
	return out.String(), d.last(), d.changed, true
}

// NotifiedAt returns when dispatcher n was notified of the present phase of a worker; the zero time
// if it was not.
func (d *Discovery) NotifiedAt(n int, id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ports[n].notified[d.announced[id]]
}

// notifiedTimes returns when each dispatcher was notified of the present phase of a worker; those
// that were not are absent.
func notifiedTimes(d *Discovery, dispatchers int, id string) map[int]time.Time {
	notified := map[int]time.Time{}
	for i := range dispatchers {
		if t := d.NotifiedAt(i, id); !t.IsZero() {
			notified[i] = t
		}
	}
	return notified
}
