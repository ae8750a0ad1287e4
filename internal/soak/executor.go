package soak

// The wrapper of an executor: a record of every request that came to it, and the faults of its
// answers.

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a call that came to an executor.
type Arrival struct {
	Executor int           `json:"executor"`
	ID       string        `json:"id"`
	At       time.Time     `json:"at"` // when its head was complete
	Budget   time.Duration `json:"budget"`
	Ran      bool          `json:"ran"` // it was taken on
	Status   int           `json:"status"`
}

// executor watches the requests of one executor and spoils its answers.
type executor struct {
	n int

	mu       sync.Mutex
	rng      *rand.Rand
	spoil    map[Kind]float64 // shares
	arrivals []*Arrival
	orders   []LoadOrder

	nodeOf func(host string) int // whose link ends at an address
}

// LoadOrder is an order to load that came to an executor.
type LoadOrder struct {
	Node     int
	Executor int
	At       time.Time
}

func newExecutor(n int, seed uint64, nodeOf func(host string) int) *executor {
	return &executor{n: n, nodeOf: nodeOf, rng: rand.New(rand.NewPCG(seed, uint64(n)+1<<32)), spoil: map[Kind]float64{}}
}

// set makes a share of the answers fail by a kind of fault; 0: none.
func (e *executor) set(kind Kind, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoil[kind] = share
}

func (e *executor) draws(kind Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < e.spoil[kind]
}

func (e *executor) received() []*Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Arrival(nil), e.arrivals...)
}

// secondMost is how long after the first a second answer may come. With what the links add on a
// busy machine it stays below the 10 ms for which a dispatcher watches a connection: a second
// answer after that cannot be distinguished from the next one.
const secondMost = 5 * time.Millisecond

// wrap is the executor's handler with the record and the spoiling.
func (e *executor) wrap(own http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Hop-Id")
		if id == "" { // a probe or an order
			e.order(request)
			own.ServeHTTP(response, request)
			return
		}
		budget, _ := strconv.Atoi(request.Header.Get("X-Budget"))
		arrival := &Arrival{Executor: e.n, ID: id, At: time.Now(), Budget: time.Duration(budget) * time.Millisecond}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, arrival)
		e.mu.Unlock()
		rec := httptest.NewRecorder()
		own.ServeHTTP(rec, request)
		e.mu.Lock()
		arrival.Status = rec.Code
		arrival.Ran = rec.Code == http.StatusOK || rec.Code == http.StatusInternalServerError
		e.mu.Unlock()
		e.answer(response, rec)
	})
}

// order records an order to load; one for no copies only asks.
func (e *executor) order(request *http.Request) {
	if request.Method != http.MethodPut || strings.HasSuffix(request.URL.Path, "/0") {
		return
	}
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, LoadOrder{e.nodeOf(host), e.n, time.Now()})
}

func (e *executor) ordered() []LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LoadOrder(nil), e.orders...)
}

// answer writes what the executor answered, spoilt where that is drawn.
func (e *executor) answer(response http.ResponseWriter, rec *httptest.ResponseRecorder) {
	twice, pieces, cut, closes := e.draws(AnswerTwice), e.draws(AnswerPieces), e.draws(AnswerCut), e.draws(IdleClosed)
	if !twice && !pieces && !cut {
		for name, values := range rec.Header() {
			response.Header()[name] = values
		}
		if closes {
			response.Header().Set("Connection", "close")
		}
		response.WriteHeader(rec.Code)
		_, _ = response.Write(rec.Body.Bytes())
		return
	}
	conn, _, err := response.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := rawAnswer(rec)
	switch {
	case cut:
		_, _ = conn.Write(text[:len(text)/2])
	case pieces:
		for at := 0; at < len(text); at += len(text)/5 + 1 {
			_, _ = conn.Write(text[at:min(len(text), at+len(text)/5+1)])
			time.Sleep(time.Millisecond)
		}
		lingerOpen(conn)
	default:
		_, _ = conn.Write(text)
		e.mu.Lock()
		wait := time.Duration(e.rng.Int64N(int64(4 * time.Millisecond)))
		e.mu.Unlock()
		begun := time.Now()
		time.Sleep(wait)
		if time.Since(begun) <= secondMost { // later it would be another fault
			_, _ = conn.Write(text)
		}
		lingerOpen(conn)
	}
}

// lingerOpen leaves a connection open for a while, as an idle one is.
func lingerOpen(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = conn.Read(make([]byte, 1))
}

// rawAnswer returns a recorded answer as it goes over the wire.
func rawAnswer(rec *httptest.ResponseRecorder) []byte {
	out := []byte("HTTP/1.1 " + strconv.Itoa(rec.Code) + " " + http.StatusText(rec.Code) + "\r\n")
	rec.Header().Set("Content-Length", strconv.Itoa(rec.Body.Len()))
	for name, values := range rec.Header() {
		for _, v := range values {
			out = append(out, name+": "+v+"\r\n"...)
		}
	}
	return append(append(out, "\r\n"...), rec.Body.Bytes()...)
}
