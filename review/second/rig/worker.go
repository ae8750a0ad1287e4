package rig

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a worker does to one call after it has run it.
type Fault int

// The faults.
const (
	NoFault  Fault = iota
	ResetRun       // the call runs and the connection is reset without an answer
)

// Run is one run of a call at a worker.
type Run struct {
	Came, Ended            time.Time
	Worker, Class, ID, Key string
	Body                   string
	Dropped                bool // dropped as a repeat of its idempotency key
}

// Fleet is a number of workers with a common log of runs.
type Fleet struct {
	// Work is how long a call runs, Load how long a copy loads.
	Work, Load time.Duration
	// ClassWork is how long a call of a class runs if that differs.
	ClassWork map[string]time.Duration
	// Window is how long the workers of a zone drop a repeat of an idempotency key.
	Window  time.Duration
	Workers []*Worker
	record  *Record

	mu      sync.Mutex
	fault   func(run Run) Fault // what happens to a call that has run; nil: nothing
	runs    []Run
	applied map[string]time.Time // by zone, class and idempotency key
}

// Worker is one stand-in worker.
type Worker struct {
	ID, Zone, Addr string
	fleet          *Fleet
	listener       net.Listener
	server         *http.Server

	mu       sync.Mutex
	loadedAt map[string]time.Time // by function: when its copy stands
	inFlight int
}

// NewFleet starts count workers, which alternate between the zones.
func NewFleet(record *Record, count int, zones []string) (*Fleet, error) {
	fleet := &Fleet{
		Work: 100 * time.Millisecond, Load: 1200 * time.Millisecond, record: record,
		applied: map[string]time.Time{},
	}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fleet.Close()
			return nil, fmt.Errorf("worker: %w", err)
		}
		worker := &Worker{
			ID: fmt.Sprintf("s-%08x", i+1), Zone: zones[i%len(zones)], Addr: listener.Addr().String(),
			fleet: fleet, listener: listener, loadedAt: map[string]time.Time{},
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /ping", worker.probe)
		mux.HandleFunc("GET /busy", worker.probe)
		mux.HandleFunc("POST /c/{class}", worker.call)
		mux.HandleFunc("GET /c/{class}", worker.call)
		mux.HandleFunc("PUT /c/{key}/{count}", worker.order)
		mux.HandleFunc("DELETE /c/{key}", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		})
		worker.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
		go func() { _ = worker.server.Serve(listener) }() // ends with Close
		fleet.Workers = append(fleet.Workers, worker)
	}
	return fleet, nil
}

// Close ends all workers.
func (f *Fleet) Close() {
	for _, worker := range f.Workers {
		_ = worker.server.Close()
	}
}

// Runs returns the runs so far.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs...)
}

// SetFault sets what happens to a call that has run, from now on.
func (f *Fleet) SetFault(fault func(run Run) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// run records that a call has run at a worker of a zone, and returns what happens to it and whether
// the workers of the zone dropped it as a repeat.
func (f *Fleet) run(zone string, run Run) (fault Fault, dropped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if run.Key != "" {
		known := zone + " " + run.Class + " " + run.Key
		if at, ok := f.applied[known]; ok && time.Since(at) < f.Window {
			dropped = true
		} else {
			f.applied[known] = time.Now()
		}
	}
	run.Ended, run.Dropped = time.Now(), dropped
	f.runs = append(f.runs, run)
	if f.fault != nil {
		fault = f.fault(run)
	}
	return fault, dropped
}

// report sets the load report of an answer.
func (s *Worker) report(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	header.Set("X-Report", fmt.Sprintf("queue:0;util:%.2f", min(1, float64(s.inFlight)/4)))
}

// probe answers a health check.
func (s *Worker) probe(w http.ResponseWriter, _ *http.Request) { s.report(w.Header()) }

// load returns when the copy of a function stands, and how a call finds it.
func (s *Worker) load(function string) (stands time.Time, tell string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands, known := s.loadedAt[function]
	switch {
	case !known:
		stands, tell = time.Now().Add(s.fleet.Load), "spawn"
		s.loadedAt[function] = stands
	case time.Now().Before(stands):
		tell = "pending"
	default:
		tell = "hit"
	}
	return stands, tell
}

// order answers a load order once the copy stands.
func (s *Worker) order(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stands, known := s.loadedAt[r.PathValue("key")]
	s.mu.Unlock()
	if count, _ := strconv.Atoi(r.PathValue("count")); count > 0 {
		stands, _ = s.load(r.PathValue("key"))
		known = true
	}
	time.Sleep(time.Until(stands))
	copies := 0
	if known {
		copies = 1
	}
	w.Header().Set("X-N", strconv.Itoa(copies))
}

// call runs one call. A call that has begun runs to its end, also when its connection closes.
func (s *Worker) call(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
	stands, tell := s.load(r.Header.Get("X-Thing"))
	work, differs := s.fleet.ClassWork[r.PathValue("class")]
	if !differs {
		work = s.fleet.Work
	}
	time.Sleep(max(0, time.Until(stands)) + work)
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	run := Run{
		Came: came, Worker: s.ID, Class: r.PathValue("class"),
		ID: r.Header.Get("X-Hop-Id"), Key: r.Header.Get("X-Replay-Key"), Body: string(body),
	}
	fault, dropped := s.fleet.run(s.Zone, run)
	s.fleet.record.Logf("worker %s (%s): ran %s id=%s key=%q body=%q, came %v ago, applied=%t reset=%t", s.ID, s.Zone,
		run.Class, run.ID, run.Key, run.Body, time.Since(came).Round(time.Millisecond), !dropped, fault == ResetRun)
	if fault == ResetRun {
		reset(w)
		return
	}
	w.Header().Set("X-Tell", tell)
	s.report(w.Header())
	fmt.Fprintf(w, "%s done %s", s.ID, strings.TrimSpace(string(bytes.TrimSpace(body))))
}

// reset resets the connection of a request without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
