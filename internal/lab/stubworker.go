package lab

// Stub workers on sockets: they serve the platform's protocol for executors on top of WorkerModel
// and record the calls that they received. A call is answered with success only after the model has
// completed its work.

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// ObservedCall is one call that a worker received.
type ObservedCall struct {
	At       time.Time
	ID       string
	Class    int
	Model    uint64 // the model that is called; 0 if Failed
	Admitted bool   // admitted: the worker runs it
	Draining bool   // the worker was draining when the call arrived
	Failed   bool   // it counts as run and was answered with an error at once
}

// StubWorker is an emulated worker that listens on a socket.
type StubWorker struct {
	ID   string // in discovery's list
	Addr string
	f    *Figures

	mu          sync.Mutex
	model       *WorkerModel
	observed    []ObservedCall
	orders      []time.Time // when load orders arrived
	drained     time.Time   // when it began to drain; zero: not yet
	failureRate float64     // share of calls that fail at once, 0 to 1; health checks and load orders do not fail

	wrapper atomic.Pointer[func(http.Handler) http.Handler]

	wakeup chan struct{}
	stop   context.CancelFunc
	srv    *http.Server
	ln     net.Listener
}

// StartStubWorker starts a worker that listens at addr. started is the start time from which the
// worker's slow start counts.
func StartStubWorker(id, addr string, figures *Figures, started time.Time) (*StubWorker, error) {
	listener, err := listenWithRetry(addr)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", id, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &StubWorker{
		ID: id, Addr: listener.Addr().String(), f: figures, model: NewWorkerModel(figures.Worker, started),
		wakeup: make(chan struct{}, 1), stop: stop, ln: listener,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /busy", s.probe)
	mux.HandleFunc("GET /ping", s.probe)
	mux.HandleFunc("POST /c/{class}", s.call)
	mux.HandleFunc("GET /c/{class}", s.call)
	mux.HandleFunc("PUT /c/{model}/{count}", s.order)
	mux.HandleFunc("DELETE /c/{model}", s.unload)
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter,
		r *http.Request,
	) {
		s.handler(mux).ServeHTTP(w, r)
	}), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.srv.Serve(listener) }()
	go s.run(ctx)
	return s, nil
}

// Wrap sets a wrapper of the worker's own handler. Every request from now on is served by the
// handler that wrap returns.
func (s *StubWorker) Wrap(wrap func(http.Handler) http.Handler) { s.wrapper.Store(&wrap) }

func (s *StubWorker) handler(own http.Handler) http.Handler {
	if wrap := s.wrapper.Load(); wrap != nil {
		return (*wrap)(own)
	}
	return own
}

// run advances the model in real time and signals the jobs that have ended.
func (s *StubWorker) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		ended := s.model.Advance(now)
		next := s.model.Next(now)
		s.mu.Unlock()
		for _, job := range ended {
			close(job.Data.(chan struct{}))
		}
		wait := time.Hour
		if !next.IsZero() {
			wait = max(next.Sub(now), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-timer.C:
		}
	}
}

func (s *StubWorker) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Change calls f with the model while no other call uses the model.
func (s *StubWorker) Change(f func(model *WorkerModel)) {
	s.mu.Lock()
	f(s.model)
	if s.model.Draining() && s.drained.IsZero() {
		s.drained = time.Now()
	}
	s.mu.Unlock()
	s.wake()
}

// SetFailureRate makes a share of all calls, 0 to 1, fail at once with status 500 from now on.
func (s *StubWorker) SetFailureRate(share float64) {
	s.mu.Lock()
	s.failureRate = share
	s.mu.Unlock()
}

// failCall reports whether a call is to fail, by a hash of the worker's ID, the call's ID and the
// number of calls observed before, and records the call if so. A draining or collapsed worker fails
// no call this way.
func (s *StubWorker) failCall(id string, class int) bool {
	h := fnv.New32a()
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprint(h, s.ID, id, len(s.observed))
	if s.failureRate == 0 || s.model.Draining() || s.model.Collapsed() ||
		float64(h.Sum32()%1000) >= 1000*s.failureRate {
		return false
	}
	s.observed = append(s.observed, ObservedCall{At: time.Now(), ID: id, Class: class, Admitted: true, Failed: true})
	return true
}

// Kill ends the worker: its connections are closed and its address refuses new ones.
func (s *StubWorker) Kill() {
	_ = s.srv.Close()
	s.stop()
}

// GoSilent ends the worker and listens at its address without accepting: new connections are
// established by the kernel but never answered. (A loopback address cannot be made to drop the
// handshakes without privileges.) release closes the listener.
func (s *StubWorker) GoSilent() (release func(), err error) {
	s.Kill()
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return nil, fmt.Errorf("worker %s: listen without accepting: %w", s.ID, err)
	}
	return func() { _ = listener.Close() }, nil
}

var errRequestCancelled = errors.New("request cancelled before the job ended")

// Observations returns the calls that the worker received and the times at which it received load
// orders.
func (s *StubWorker) Observations() (calls []ObservedCall, orders []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ObservedCall(nil), s.observed...), append([]time.Time(nil), s.orders...)
}

// Drained returns when the worker began to drain, or the zero time if it has not.
func (s *StubWorker) Drained() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// Collapsed reports whether the worker has collapsed under load.
func (s *StubWorker) Collapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Collapsed()
}

func (s *StubWorker) report(h http.Header, now time.Time) {
	queue, util := s.model.Report(now)
	h.Set("X-Report", fmt.Sprintf("queue:%d;util:%.3f", queue, util))
}

func (s *StubWorker) probe(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report(w.Header(), time.Now())
	if s.model.Draining() || s.model.Collapsed() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func rejectWithoutEffect(w http.ResponseWriter) {
	w.Header().Set("X-No-Effect", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var warmthNames = [...]string{"hit", "spawn", "pending"}

// submit passes a job to the model and, if it is admitted, waits until it ends. It returns an error
// if the request is cancelled before.
func (s *StubWorker) submit(r *http.Request, job *Job) (Admission, error) {
	done := make(chan struct{})
	job.Data = done
	s.mu.Lock()
	now := time.Now()
	admission := s.model.Arrive(now, job)
	if job.Order {
		s.orders = append(s.orders, now)
	} else {
		s.observed = append(s.observed, ObservedCall{
			At: now, ID: job.ID, Class: job.Class, Model: job.Model,
			Admitted: admission == Admitted, Draining: s.model.Draining(),
		})
	}
	s.mu.Unlock()
	if admission != Admitted {
		return admission, nil
	}
	s.wake()
	select {
	case <-done:
		return Admitted, nil
	case <-r.Context().Done(): // the job continues in the model
		return Admitted, errRequestCancelled
	}
}

// call serves a call: the model runs or rejects it, or it fails by the failure rate that is set.
func (s *StubWorker) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	model, parseErr := strconv.ParseUint(r.Header.Get("X-Thing"), 16, 64)
	class := s.class(r.PathValue("class"))
	if err != nil || parseErr != nil || class < 0 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Hop-Id")
	if s.failCall(id, class) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	job := &Job{
		ID: id, Class: class, Model: model, Work: s.f.Work(class, id), Load: s.f.Load,
		Concurrency: s.f.Concurrency,
	}
	admission, err := s.submit(r, job)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.report(w.Header(), time.Now())
	s.mu.Unlock()
	switch admission {
	case RejectedFull, RejectedDraining:
		rejectWithoutEffect(w)
	case WorkerDown:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("X-Tell", warmthNames[job.Warmth])
		if job.ConcurrentRequests > 0 {
			w.Header().Set("X-Same", strconv.Itoa(job.ConcurrentRequests))
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+len(id)))
		_, _ = io.WriteString(w, id)
		_, _ = w.Write(body)
	}
}

func (s *StubWorker) class(name string) int {
	for i, c := range s.f.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// order serves a load order. A count of 0 loads nothing and only asks for the number of copies.
func (s *StubWorker) order(w http.ResponseWriter, r *http.Request) {
	model, parseErr := strconv.ParseUint(r.PathValue("model"), 16, 64)
	count, countErr := strconv.Atoi(r.PathValue("count"))
	if parseErr != nil || countErr != nil || count < 0 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	admission := Admitted
	if count > 0 {
		var err error
		if admission, err = s.submit(r, &Job{
			Model: model, Load: s.f.Load, Concurrency: s.f.Concurrency,
			Order: true,
		}); err != nil {
			return
		}
	}
	s.mu.Lock()
	w.Header().Set("X-N", strconv.Itoa(s.model.Loaded(time.Now(), model)))
	s.mu.Unlock()
	if admission != Admitted {
		rejectWithoutEffect(w)
	}
}

func (s *StubWorker) unload(w http.ResponseWriter, r *http.Request) {
	if model, err := strconv.ParseUint(r.PathValue("model"), 16, 64); err == nil {
		s.mu.Lock()
		s.model.Unload(model)
		s.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}
