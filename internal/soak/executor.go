package soak

// The wrapper of an executor: it records every request that reaches the executor and injects faults
// into its answers.

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

// Arrival is the record of a call that reached an executor.
type Arrival struct {
	Executor int           `json:"executor"`
	ID       string        `json:"id"`
	At       time.Time     `json:"at"` // when its head had been read
	Budget   time.Duration `json:"budget"`
	Ran      bool          `json:"ran"` // it was executed: answered with 200 or 500
	Status   int           `json:"status"`
}

// executor records the requests to one executor and corrupts its answers.
type executor struct {
	n int

	mu         sync.Mutex
	rng        *rand.Rand
	faultRates map[Kind]float64 // shares of answers
	arrivals   []*Arrival
	loadOrders []LoadOrder
	// lateDuplicates are the bodies of the duplicate answers that were written more than
	// maxSecondAnswerDelay after the first.
	lateDuplicates []string

	nodeOf func(host string) int // the dispatcher whose links use an address; -1: none
}

// LoadOrder is the record of a load order that reached an executor.
type LoadOrder struct {
	Node     int
	Executor int
	At       time.Time
}

func newExecutor(n int, seed uint64, nodeOf func(host string) int) *executor {
	return &executor{
		n: n, nodeOf: nodeOf, rng: rand.New(rand.NewPCG(seed, uint64(n)+1<<32)),
		faultRates: map[Kind]float64{},
	}
}

// setFaultRate sets the share of the answers that get a kind of fault, from 0 to 1.
func (e *executor) setFaultRate(kind Kind, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultRates[kind] = share
}

func (e *executor) drawFault(kind Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < e.faultRates[kind]
}

func (e *executor) receivedCalls() []*Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Arrival(nil), e.arrivals...)
}

// maxSecondAnswerDelay limits the delay of a duplicate answer after the first. With the delay that
// the links add on a busy machine it stays below the 10 ms for which a dispatcher watches a
// connection: after that, a duplicate cannot be distinguished from the answer to the next request.
const maxSecondAnswerDelay = 5 * time.Millisecond

// wrap returns the executor's handler with recording and fault injection around it.
func (e *executor) wrap(own http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Hop-Id")
		if id == "" { // a probe or a load order
			e.recordLoadOrder(request)
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
		e.writeAnswer(response, rec)
	})
}

// recordLoadOrder records a load order. A request for 0 copies only queries and is not recorded.
func (e *executor) recordLoadOrder(request *http.Request) {
	if request.Method != http.MethodPut || strings.HasSuffix(request.URL.Path, "/0") {
		return
	}
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadOrders = append(e.loadOrders, LoadOrder{e.nodeOf(host), e.n, time.Now()})
}

func (e *executor) writtenLateDuplicates() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.lateDuplicates...)
}

func (e *executor) receivedLoadOrders() []LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LoadOrder(nil), e.loadOrders...)
}

// writeAnswer writes the executor's answer, corrupted by the faults that are drawn for it.
func (e *executor) writeAnswer(response http.ResponseWriter, rec *httptest.ResponseRecorder) {
	duplicate, fragmented, truncated, closes := e.drawFault(AnswerDuplicate), e.drawFault(AnswerFragmented),
		e.drawFault(AnswerTruncated), e.drawFault(IdleClosed)
	if !duplicate && !fragmented && !truncated {
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
	case truncated:
		_, _ = conn.Write(text[:len(text)/2])
	case fragmented:
		for at := 0; at < len(text); at += len(text)/5 + 1 {
			_, _ = conn.Write(text[at:min(len(text), at+len(text)/5+1)])
			time.Sleep(time.Millisecond)
		}
		lingerOpen(conn)
	default:
		e.writeTwice(conn, text, rec.Body.String())
		lingerOpen(conn)
	}
}

// writeTwice writes an answer and, up to 4 ms later, a duplicate. If this process is too slow for
// maxSecondAnswerDelay, it leaves the duplicate out, or records its body if it notices too late.
func (e *executor) writeTwice(conn net.Conn, text []byte, body string) {
	started := time.Now()
	_, _ = conn.Write(text)
	e.mu.Lock()
	wait := time.Duration(e.rng.Int64N(int64(4 * time.Millisecond)))
	e.mu.Unlock()
	time.Sleep(wait)
	if time.Since(started) > maxSecondAnswerDelay {
		return
	}
	_, _ = conn.Write(text)
	if time.Since(started) > maxSecondAnswerDelay {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lateDuplicates = append(e.lateDuplicates, body)
	}
}

// lingerOpen keeps a connection open for up to 200 ms, like an idle one.
func lingerOpen(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = conn.Read(make([]byte, 1))
}

// rawAnswer returns a recorded answer as HTTP/1.1 bytes.
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
