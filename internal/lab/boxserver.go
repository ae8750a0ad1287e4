package lab

// This file owns the boxes on sockets: the platform's protocol for executors over the model of a box, and what each box
// saw. It must never answer for work that the model has not ended.

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Sight is one call that a box saw.
type Sight struct {
	At       time.Time
	ID       string
	Class    int
	Model    uint64 // called; 0 for a call that failed at once
	Took     bool   // it was taken: it runs
	Draining bool   // the box was draining when it came
	Failed   bool   // it ran, and its answer was an error
}

// Figures are the sizes of the emulated world that boxes and clients share.
type Figures struct {
	Classes []ClassFigures
	Load    time.Duration // of a model, on the mean
	Lanes   int
	Box     BoxConfig
}

// ClassFigures are what is known of one class of calls.
type ClassFigures struct {
	Name        string
	Share       float64 // of all calls
	Aim, GiveUp time.Duration
	Worth       float64
	Work        time.Duration // on the mean
	Once        bool          // must never run twice
}

// Work is how long a call takes a core, drawn from its id: the same at every box and in every arm of an experiment.
func (f *Figures) Work(class int, id string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	x := h.Sum64()
	u := (float64(x>>11) + 0.5) / (1 << 53)
	// Between half and twice the mean, evenly on a log scale, which has 1.082 times the mean for its mean.
	return time.Duration(float64(f.Classes[class].Work) / 1.082 * math.Exp2(2*u-1))
}

// BoxServer is a box on a socket.
type BoxServer struct {
	ID   string // as discovery names it
	Addr string
	f    *Figures

	mu      sync.Mutex
	box     *Box
	seen    []Sight
	orders  []time.Time // orders to load that came
	drained time.Time   // when it began to drain
	failing float64     // share of calls that run and fail at once; probes and orders do not

	around atomic.Pointer[func(http.Handler) http.Handler]

	kick chan struct{}
	stop context.CancelFunc
	srv  *http.Server
	ln   net.Listener
}

// StartBox has a box listen at addr.
func StartBox(id, addr string, f *Figures, started time.Time) (*BoxServer, error) {
	ln, err := listenAgain(addr)
	if err != nil {
		return nil, fmt.Errorf("box %s: %w", id, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &BoxServer{ID: id, Addr: ln.Addr().String(), f: f, box: NewBox(f.Box, started), kick: make(chan struct{}, 1), stop: stop, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /busy", s.probe)
	mux.HandleFunc("GET /ping", s.probe)
	mux.HandleFunc("POST /c/{class}", s.call)
	mux.HandleFunc("GET /c/{class}", s.call)
	mux.HandleFunc("PUT /c/{model}/{count}", s.order)
	mux.HandleFunc("DELETE /c/{model}", s.unload)
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handler(mux).ServeHTTP(w, r) }), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.srv.Serve(ln) }()
	go s.run(ctx)
	return s, nil
}

// Around has every request pass through what wrap makes of the box's own handler, from now on.
func (s *BoxServer) Around(wrap func(http.Handler) http.Handler) { s.around.Store(&wrap) }

func (s *BoxServer) handler(own http.Handler) http.Handler {
	if wrap := s.around.Load(); wrap != nil {
		return (*wrap)(own)
	}
	return own
}

// run lets the model's time pass and answers what has ended.
func (s *BoxServer) run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		ended := s.box.Advance(now)
		next := s.box.Next(now)
		s.mu.Unlock()
		for _, j := range ended {
			close(j.Data.(chan struct{}))
		}
		wait := time.Hour
		if !next.IsZero() {
			wait = max(next.Sub(now), 0)
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-t.C:
		}
	}
}

func (s *BoxServer) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Change does something to the model, at once.
func (s *BoxServer) Change(f func(b *Box)) {
	s.mu.Lock()
	f(s.box)
	if s.box.Draining() && s.drained.IsZero() {
		s.drained = time.Now()
	}
	s.mu.Unlock()
	s.wake()
}

// Fail has a share of all calls end with an error at once, from now on.
func (s *BoxServer) Fail(share float64) {
	s.mu.Lock()
	s.failing = share
	s.mu.Unlock()
}

// fails tells whether a call is to fail: by its id and how many came before.
func (s *BoxServer) fails(id string, class int) bool {
	h := fnv.New32a()
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprint(h, s.ID, id, len(s.seen))
	if s.failing == 0 || s.box.Draining() || s.box.Fallen() || float64(h.Sum32()%1000) >= 1000*s.failing {
		return false
	}
	s.seen = append(s.seen, Sight{At: time.Now(), ID: id, Class: class, Took: true, Failed: true})
	return true
}

// Die ends the box: its connections are reset and its address refuses.
func (s *BoxServer) Die() {
	_ = s.srv.Close()
	s.stop()
}

// Vanish ends the box without a word: its connections stay open and silent, and its address takes connections that
// nobody answers. (A loopback address cannot be made to swallow the handshake without privileges.)
func (s *BoxServer) Vanish() (release func(), err error) {
	s.Die()
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return nil, fmt.Errorf("box %s vanishes: %w", s.ID, err)
	}
	return func() { _ = ln.Close() }, nil
}

var errGone = errors.New("the box is gone")

// Seen returns what the box saw.
func (s *BoxServer) Seen() (calls []Sight, orders []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Sight(nil), s.seen...), append([]time.Time(nil), s.orders...)
}

// Drained returns when the worker began to drain; the zero time if it did not.
func (s *BoxServer) Drained() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// Fallen reports whether the worker collapsed under load.
func (s *BoxServer) Fallen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.box.Fallen()
}

func (s *BoxServer) report(h http.Header, now time.Time) {
	queue, util := s.box.Report(now)
	h.Set("X-Report", fmt.Sprintf("queue:%d;util:%.3f", queue, util))
}

func (s *BoxServer) probe(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report(w.Header(), time.Now())
	if s.box.Draining() || s.box.Fallen() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func never(w http.ResponseWriter) {
	w.Header().Set("X-No-Effect", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var noteNames = [...]string{"hit", "spawn", "pending"}

// submit puts a job in and waits for its end; an error says why it was not taken, or that the box has gone.
func (s *BoxServer) submit(r *http.Request, j *Job) (Verdict, error) {
	done := make(chan struct{})
	j.Data = done
	s.mu.Lock()
	now := time.Now()
	v := s.box.Arrive(now, j)
	if j.Order {
		s.orders = append(s.orders, now)
	} else {
		s.seen = append(s.seen, Sight{At: now, ID: j.ID, Class: j.Class, Model: j.Model, Took: v == Taken, Draining: s.box.Draining()})
	}
	s.mu.Unlock()
	if v != Taken {
		return v, nil
	}
	s.wake()
	select {
	case <-done:
		return Taken, nil
	case <-r.Context().Done(): // work that runs goes on all the same
		return Taken, errGone
	}
}

func (s *BoxServer) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	model, bad := strconv.ParseUint(r.Header.Get("X-Thing"), 16, 64)
	class := s.class(r.PathValue("class"))
	if err != nil || bad != nil || class < 0 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Hop-Id")
	if s.fails(id, class) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	j := &Job{ID: id, Class: class, Model: model, Work: s.f.Work(class, id), Load: s.f.Load, Lanes: s.f.Lanes}
	v, err := s.submit(r, j)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.report(w.Header(), time.Now())
	s.mu.Unlock()
	switch v {
	case Full, Drained:
		never(w)
	case Down:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("X-Tell", noteNames[j.Note])
		if j.Same > 0 {
			w.Header().Set("X-Same", strconv.Itoa(j.Same))
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+len(id)))
		_, _ = io.WriteString(w, id)
		_, _ = w.Write(body)
	}
}

func (s *BoxServer) class(name string) int {
	for i, c := range s.f.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

func (s *BoxServer) order(w http.ResponseWriter, r *http.Request) {
	model, bad := strconv.ParseUint(r.PathValue("model"), 16, 64)
	count, odd := strconv.Atoi(r.PathValue("count"))
	if bad != nil || odd != nil || count < 0 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	v := Taken
	if count > 0 {
		var err error
		if v, err = s.submit(r, &Job{Model: model, Load: s.f.Load, Lanes: s.f.Lanes, Order: true}); err != nil {
			return
		}
	}
	s.mu.Lock()
	w.Header().Set("X-N", strconv.Itoa(s.box.Loaded(time.Now(), model)))
	s.mu.Unlock()
	if v != Taken {
		never(w)
	}
}

func (s *BoxServer) unload(w http.ResponseWriter, r *http.Request) {
	if model, err := strconv.ParseUint(r.PathValue("model"), 16, 64); err == nil {
		s.mu.Lock()
		s.box.Unload(model)
		s.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}
