package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Discovery is a stand-in command channel: after `resume N` it writes the later events, and every
// second a line with the last number.
type Discovery struct {
	Addr     string
	listener net.Listener

	mu     sync.Mutex
	events []string // event i has the number i+1
	conns  map[net.Conn]bool
}

// NewDiscovery starts a command channel whose first event holds the whole list.
func NewDiscovery(workers []*Worker) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{Addr: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}}
	members := make([]string, len(workers))
	for i, worker := range workers {
		members[i] = member(worker, i, "Ready")
	}
	d.events = []string{event(1, true, members...)}
	go d.accept() // ends with Close
	return d, nil
}

// member returns the entry of a worker in an event.
func member(worker *Worker, index int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std-2core","cell":%d,"phase":%q,"size":2,`+
		`"up_since_ms":0}`, worker.ID, worker.Addr, worker.Zone, index%2, phase)
}

// event returns the line of an event.
func event(cursor int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%t,"members":[%s]}}`, cursor, cursor, complete,
		strings.Join(members, ","))
}

// Known returns the events so far in the form of the configuration.
func (d *Discovery) Known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(d.events), strings.Join(d.events, ","))
}

// accept serves connections until the listener is closed.
func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[conn] = true
		d.mu.Unlock()
		go d.serve(conn) // ends when the connection closes
	}
}

// serve writes the events after the number that the dispatcher names, and heartbeats.
func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	sent := 0
	if _, err := fmt.Sscanf(line, "resume %d", &sent); err != nil {
		return
	}
	for beat := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		d.mu.Lock()
		last := len(d.events)
		later := append([]string(nil), d.events[min(sent, last):]...)
		d.mu.Unlock()
		for _, text := range later {
			if _, err := fmt.Fprintln(conn, text); err != nil {
				return
			}
		}
		sent = last
		if time.Now().Before(beat) {
			continue
		}
		beat = time.Now().Add(time.Second)
		if _, err := fmt.Fprintln(conn, last); err != nil {
			return
		}
	}
}

// Close ends the command channel.
func (d *Discovery) Close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		_ = conn.Close()
	}
}
