package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for an executor that holds a loaded copy of every function and answers each
// call after its work. Where it has a table of keys, it drops a repeat of a call: it answers it and
// does not run it.
type Worker struct {
	ID, Addr, Zone string
	Work           time.Duration
	// Cuts reports whether the connection of a call that has run breaks off before the answer; nil:
	// none does.
	Cuts func(call Received) bool

	keys *keyTable // shared by the workers of a zone
	mu   sync.Mutex
	runs []Received
}

// Received is one call that a worker got.
type Received struct {
	CallID, Class, Key string
	Worker             string
	At                 time.Time
	Dropped            bool // as a repeat; otherwise it ran
	Cut                bool // it ran, and its connection broke off
}

// keyTable holds the idempotency keys that the workers of a zone have seen.
type keyTable struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// keyWindow is how long the workers of a zone drop repeats of a key.
const keyWindow = 8 * time.Second

// isRepeat records a key and reports whether it came before within the window. A call without a key
// is none.
func (k *keyTable) isRepeat(key string, now time.Time) bool {
	if key == "" {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	first, known := k.seen[key]
	if known && now.Sub(first) < keyWindow {
		return true
	}
	k.seen[key] = now
	return false
}

// startWorkers starts workers in the given zones, in turn, that take the given time for a call.
func (s *Stage) startWorkers(count int, zones []string, work time.Duration) ([]*Worker, error) {
	tables := map[string]*keyTable{}
	for _, zone := range zones {
		tables[zone] = &keyTable{seen: map[string]time.Time{}}
	}
	var workers []*Worker
	for i := range count {
		zone := zones[i%len(zones)]
		worker := &Worker{
			ID: fmt.Sprintf("s-%08x", 0x100+i), Addr: s.Addr(), Zone: zone, Work: work, keys: tables[zone],
		}
		listener, err := net.Listen("tcp", worker.Addr)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: worker, IdleTimeout: 15 * time.Second}
		go func() { _ = server.Serve(listener) }()
		workers = append(workers, worker)
	}
	return workers, nil
}

// entry returns the worker's entry in the endpoint list.
func (w *Worker) entry() map[string]any {
	return map[string]any{
		"id": w.ID, "host_port": w.Addr, "locality": w.Zone, "flavor": "std-2core", "cell": 0,
		"phase": "Ready", "size": 2, "up_since_ms": 0,
	}
}

// ServeHTTP answers calls, orders to load and unload, and probes.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("X-Report", "waiting:0;cpu:0.2")
	class, ok := strings.CutPrefix(r.URL.Path, "/c/")
	switch {
	case !ok: // a probe
	case r.Method == http.MethodDelete:
		out.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut:
		out.Header().Set("X-N", "1")
	default:
		w.run(out, r, class)
	}
}

// run runs one call, or drops it.
func (w *Worker) run(out http.ResponseWriter, r *http.Request, class string) {
	call := Received{
		CallID: r.Header.Get("X-Hop-Id"), Class: class, Key: r.Header.Get("X-Replay-Key"), Worker: w.ID, At: time.Now(),
	}
	_, _ = io.Copy(io.Discard, r.Body)
	call.Dropped = w.keys.isRepeat(call.Key, call.At)
	call.Cut = !call.Dropped && w.Cuts != nil && w.Cuts(call)
	w.mu.Lock()
	w.runs = append(w.runs, call)
	w.mu.Unlock()
	time.Sleep(w.Work)
	if call.Cut {
		panic(http.ErrAbortHandler) // closes the connection
	}
	out.Header().Set("X-Tell", "hit")
	fmt.Fprintf(out, "ran %s", call.CallID)
}

// Received returns the calls that the worker got.
func (w *Worker) Received() []Received {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Received(nil), w.runs...)
}

// startDiscovery starts a command channel whose last event is the first one, and returns its
// address.
func (s *Stage) startDiscovery() (addr string, err error) {
	addr = s.Addr()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go beat(conn)
		}
	}()
	return addr, nil
}

// beat writes the number of the last event every second until the connection ends.
func beat(conn net.Conn) {
	defer conn.Close()
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	for {
		if _, err := fmt.Fprintln(conn, 1); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}
