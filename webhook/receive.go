package webhook

// This file owns what comes in: it verifies a signed message, writes its receipt, has the Core run it once, and
// answers with the outcome, now and whenever the message comes again. It must never run a call whose effect is
// uncertain a second time, nor run anything before its receipt is on disk.

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/httpreply"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
	"oakthread/spiffe"
)

// Doer is the Core as a front sees it.
type Doer interface {
	Do(ctx context.Context, q oakthread.Request) (oakthread.Answer, error)
}

// Class is a class of call as webhooks name it.
type Class struct {
	Name   string
	GiveUp time.Duration
	Effect balancer.Idempotency
}

// Counters count what a Receiver has done since its start.
type Counters struct {
	Taken, Recorded, Joined             int64 // run; answered from a receipt; joined to a run under way
	Unsigned, Replayed, Altered, Denied int64 // 401; 409 same signature; 409 other body; 403
	Malformed, Full                     int64
}

// Receiver is the front for signed webhooks. It implements http.Handler.
type Receiver struct {
	core    Doer
	ring    *Ring
	store   *Store
	classes []Class
	allowed map[string]int // class by name
	tenants map[string]int
	keep    time.Duration
	notices *Sender
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
	slowest time.Duration // that a message may take to come

	locks [64]sync.Mutex // by message: a receipt and its run change together
	mu    sync.Mutex
	runs  map[string]*run
	// unbegun are the calls of receipts whose write failed, by message: where the file has one all the same, its run never
	// began.
	unbegun map[string][]string

	closing   chan struct{} // closed by Close
	closeOnce sync.Once
	logLimit  neterr.LogLimit

	taken, recorded, joined, unsigned, replayed, altered, denied, malformed, full atomic.Int64
}

type run struct {
	done   chan struct{}
	answer oakthread.Answer
	err    error
	sum    []byte // of the message's body
}

const (
	maxMessage = 64 << 10 // a call's body is 16 KiB at most, and grows by a third in base64
	maxCall    = 16 << 10
	comeBack   = time.Minute

	mostUnbegun     = 64 // receipts of one message that could not be written
	mostUnbegunKeys = 4096
	answerTime      = 5 * time.Second // beyond a call's own time
	bodyTime        = 5 * time.Second
)

// NewReceiver makes the front. Without a store it refuses every class that must not run twice.
func NewReceiver(core Doer, o *Options, ring *Ring, store *Store, notices *Sender, classes []Class, tenants []string, log *slog.Logger) (*Receiver, error) {
	rc := &Receiver{core: core, ring: ring, store: store, classes: classes, allowed: map[string]int{},
		tenants: map[string]int{}, keep: o.Keep.Duration, notices: notices, log: log, runs: map[string]*run{}, unbegun: map[string][]string{}, closing: make(chan struct{}), slowest: bodyTime}
	rc.ctx, rc.cancel = context.WithCancel(context.Background())
	for i, c := range classes {
		if len(o.Classes) == 0 {
			rc.allowed[c.Name] = i
		}
		for _, n := range o.Classes {
			if n == c.Name {
				rc.allowed[n] = i
			}
		}
	}
	for _, n := range o.Classes {
		if _, ok := rc.allowed[n]; !ok {
			return nil, fmt.Errorf("webhooks: class %q is not in the settings", n)
		}
	}
	for n, i := range rc.allowed {
		if o.State == "" && classes[i].Effect != balancer.Idempotent {
			return nil, fmt.Errorf("webhooks: class %q must not run twice, so a state file is needed", n)
		}
	}
	for i, n := range tenants {
		rc.tenants[n] = i
	}
	for _, op := range o.Operators {
		if _, ok := rc.tenants[op.Tenant]; !ok && len(tenants) > 0 {
			return nil, fmt.Errorf("webhooks: operator %s: tenant %q is not in the settings", op.Name, op.Tenant)
		}
	}
	cut, err := store.endRunning(func(op, id string, r receipt) *notice {
		return notices.notice(op, settled{Call: r.Call, Message: id, Class: r.Class, Function: r.Key,
			Outcome: failed, Reason: "cut off by a restart"}, time.Now())
	})
	if err != nil {
		return nil, fmt.Errorf("webhooks: state file: %w", err)
	}
	if cut > 0 {
		log.Warn("webhook calls were cut off by a restart, recorded as failed", "count", cut)
	}
	return rc, nil
}

// Counters returns the counts so far.
func (rc *Receiver) Counters() Counters {
	return Counters{Taken: rc.taken.Load(), Recorded: rc.recorded.Load(), Joined: rc.joined.Load(),
		Unsigned: rc.unsigned.Load(), Replayed: rc.replayed.Load(), Altered: rc.altered.Load(),
		Denied: rc.denied.Load(), Malformed: rc.malformed.Load(), Full: rc.full.Load()}
}

// Close waits for the calls under way: each has its own end.
func (rc *Receiver) Close() {
	rc.closeOnce.Do(func() { close(rc.closing) })
	rc.work.Wait()
	rc.cancel()
}

// call is the data of a message that asks for a call.
type callData struct {
	Function string  `json:"function"`
	Body     []byte  `json:"body"` // base64
	Patience float64 `json:"patience_ms"`
	MemoryMB float64 `json:"memory_mb"`
	Lanes    int     `json:"lanes"`
	LoadMS   float64 `json:"load_ms"`
}

// ServeHTTP takes a message through its stages: verify, take in, admit, run, relay.
func (rc *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "messages are POSTed", http.StatusMethodNotAllowed)
		return
	}
	// Against bodies that never end: each holds one of the front's connections.
	reads := http.NewResponseController(w)
	_ = reads.SetReadDeadline(time.Now().Add(rc.slowest))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		rc.malformed.Add(1)
		http.Error(w, "message is too long", http.StatusRequestEntityTooLarge)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		rc.malformed.Add(1)
		w.Header().Set("Connection", "close")
		http.Error(w, "message took too long to come", http.StatusRequestTimeout)
		return
	}
	if err != nil {
		return // the sender left
	}
	_ = reads.SetReadDeadline(time.Time{})
	m, err := rc.ring.verify(r.Header, body)
	if err != nil {
		rc.unsigned.Add(1)
		http.Error(w, "signature is not valid", http.StatusUnauthorized)
		return
	}
	if !allowed(r.TLS, m.op) {
		rc.denied.Add(1)
		http.Error(w, "this identity may not use this key", http.StatusForbidden)
		return
	}
	q, err := rc.takeIn(m)
	if err != nil {
		rc.malformed.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k, recorded, err := rc.admit(m, q)
	if err != nil {
		rc.turnAway(w, err)
		return
	}
	select {
	case <-k.done:
	case <-r.Context().Done():
		return // it goes on, and its outcome will be on record
	}
	if recorded {
		w.Header().Set("Oakthread-Recorded", "1")
	}
	httpreply.Write(w, k.answer, k.err)
}

// allowed: under mTLS an operator with a SPIFFE ID must come as that.
func allowed(t *tls.ConnectionState, op Operator) bool {
	if op.id.IsZero() {
		return true
	}
	id, err := spiffe.Peer(t)
	return err == nil && id == op.id
}

// takeIn decodes a verified message into the Core's value, once.
func (rc *Receiver) takeIn(m message) (q oakthread.Request, err error) {
	var msg struct {
		Type string   `json:"type"`
		Data callData `json:"data"`
	}
	if err := json.Unmarshal(m.body, &msg); err != nil {
		return q, fmt.Errorf("message cannot be read: %w", err)
	}
	name, ok := strings.CutSuffix(msg.Type, ".requested")
	class, known := rc.allowed[name]
	if !ok || !known {
		return q, fmt.Errorf("type %q: want a class and .requested", msg.Type)
	}
	d := msg.Data
	f, err := strconv.ParseUint(d.Function, 16, 64)
	if err != nil || len(d.Function) != 16 {
		return q, fmt.Errorf("function %q: want 16 hex digits", d.Function)
	}
	if len(d.Body) > maxCall {
		return q, fmt.Errorf("body is over %d bytes", maxCall)
	}
	for _, x := range []float64{d.Patience, d.MemoryMB, d.LoadMS, float64(d.Lanes)} {
		if x < 0 || math.IsInf(x, 0) || x > 1e9 {
			return q, errors.New("a figure is out of range")
		}
	}
	wait := rc.classes[class].GiveUp
	if d.Patience > 0 {
		wait = min(wait, time.Duration(d.Patience*float64(time.Millisecond)))
	}
	tenant := -1
	if i, ok := rc.tenants[m.op.Tenant]; ok {
		tenant = i
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return q, err
	}
	return oakthread.Request{ID: hex.EncodeToString(id[:]), Class: class, Tenant: tenant, Func: balancer.FuncID(f),
		Key: d.Function, Body: d.Body, Deadline: time.Now().Add(wait), MemoryMB: d.MemoryMB, Concurrency: d.Lanes,
		LoadTime: time.Duration(d.LoadMS * float64(time.Millisecond)), Ref: m.id}, nil
}

// admit writes the receipt, and starts a run, joins one, or finds the recorded outcome.
func (rc *Receiver) admit(m message, q oakthread.Request) (k *run, recorded bool, err error) {
	sum := sha256.Sum256(m.body)
	class := rc.classes[q.Class]
	key := m.op.Name + "\x00" + m.id
	fresh := receipt{Sum: sum[:], Call: q.ID, Class: class.Name, Key: q.Key, Expires: monotime.Now().Add(rc.keep)}
	// A refusal had no effect, so the message may be run when it comes again; so may a failed call that is safe
	// to repeat. Everything else stands as recorded.
	again := func(r receipt) bool {
		return r.Status == refused || class.Effect == balancer.Idempotent && r.Status != served
	}
	// The lock holds from before the receipt shows a run until the run can be found, so that a second delivery
	// meets either none or both.
	defer rc.lock(key)()
	rc.mu.Lock()
	unbegun := rc.unbegun[key]
	rc.mu.Unlock()
	r, start, err := rc.store.take(m.op.Name, m.id, m.at, fresh, unbegun, again)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if err != nil {
		if errors.Is(err, errReplay) || errors.Is(err, errOther) || errors.Is(err, errFull) {
			return nil, false, err
		}
		if k = rc.runs[key]; k != nil && bytes.Equal(k.sum, sum[:]) { // the disk fails, and memory knows
			rc.joined.Add(1)
			return k, false, nil
		}
		rc.neverBegan(key, fresh.Call)
		return nil, false, err
	}
	delete(rc.unbegun, key)
	if start {
		rc.taken.Add(1)
		k = &run{done: make(chan struct{}), sum: sum[:]}
		rc.runs[key] = k
		rc.work.Add(1)
		go rc.run(m, q, key, k)
		return k, false, nil
	}
	if k = rc.runs[key]; k != nil {
		rc.joined.Add(1)
		return k, false, nil
	}
	rc.recorded.Add(1)
	k = &run{done: make(chan struct{}), answer: r.answer()}
	close(k.done)
	return k, true, nil
}

// neverBegan remembers a call whose receipt could not be written. Of too many messages or tries none is: such a receipt, where
// the file has it, then reads as failed, and is not run. The caller holds mu.
func (rc *Receiver) neverBegan(key, call string) {
	if calls := rc.unbegun[key]; len(calls) < mostUnbegun && (calls != nil || len(rc.unbegun) < mostUnbegunKeys) {
		rc.unbegun[key] = append(calls, call)
	}
}

// lock keeps the stages of one message apart; the value unlocks.
func (rc *Receiver) lock(key string) func() {
	h := fnv.New32a()
	h.Write([]byte(key))
	l := &rc.locks[h.Sum32()%uint32(len(rc.locks))]
	l.Lock()
	return l.Unlock
}

// run has the Core answer, apart from the connection that brought the message, and records the outcome.
func (rc *Receiver) run(m message, q oakthread.Request, key string, k *run) {
	defer rc.work.Done()
	ctx, done := context.WithDeadline(rc.ctx, q.Deadline.Add(answerTime))
	k.answer, k.err = rc.core.Do(ctx, q)
	done()
	if k.err != nil { // no answer: whether it ran is not known, save where it was not taken at all
		k.answer = oakthread.Answer{Outcome: oakthread.Failed}
		if errors.Is(k.err, oakthread.ErrDuplicate) || errors.Is(k.err, oakthread.ErrInvalid) {
			k.answer.Outcome = oakthread.Rejected
		}
		k.err = nil
	}
	n := rc.notices.notice(m.op.Name, settled{Call: q.ID, Message: m.id, Class: rc.classes[q.Class].Name,
		Function: q.Key, Outcome: word(k.answer.Outcome), Reason: reason(k.answer.Outcome, false)}, time.Now())
	rc.record(m, q, key, k, n)
}

// record writes the outcome of a run and its notice. Where the disk fails, the sender gets its answer now, later deliveries
// get it from memory, and the record is tried again until it stands: it is owed. At the end it is tried for a while.
func (rc *Receiver) record(m message, q oakthread.Request, key string, k *run, n *notice) {
	var backoff neterr.Backoff
	var once sync.Once
	var ending time.Time // when the last try is made; zero: not at the end
	for {
		unlock := rc.lock(key)
		err := rc.store.settle(m.op.Name, m.id, k.answer, n)
		if err == nil || !ending.IsZero() && time.Now().After(ending) {
			rc.mu.Lock()
			delete(rc.runs, key)
			rc.mu.Unlock()
		}
		unlock()
		once.Do(func() { close(k.done) })
		if err == nil {
			rc.notices.wake()
			return
		}
		if !ending.IsZero() && time.Now().After(ending) {
			// The receipt still says that it runs: after a restart that reads as failed, and it is not run again.
			rc.log.Error("webhook outcome not recorded, lost at the end", "call", q.ID, "err", err)
			return
		}
		if suppressed, ok := rc.logLimit.Allow(time.Now()); ok {
			rc.log.Error("webhook outcome not recorded, trying again", "call", q.ID, "err", err, "suppressed", suppressed)
		}
		select {
		case <-rc.closing:
			if ending.IsZero() {
				ending = time.Now().Add(lastWait)
			}
			time.Sleep(backoff.Next())
		case <-time.After(backoff.Next()):
		}
	}
}

// turnAway answers a message that was not run.
func (rc *Receiver) turnAway(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errReplay):
		rc.replayed.Add(1)
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errOther):
		rc.altered.Add(1)
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		rc.full.Add(1)
		if !errors.Is(err, errFull) {
			rc.log.Error("webhook receipt not written, message refused", "err", err)
		}
		httpreply.ComeBack(w.Header(), comeBack)
		http.Error(w, "no receipt could be written", http.StatusServiceUnavailable)
	}
}

// Prune drops what has outlived its time, at every tick, until ctx ends.
func (rc *Receiver) Prune(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if n, err := rc.store.prune(monotime.Now(), rc.keep); err != nil {
				rc.log.Error("webhook receipts not pruned", "err", err)
			} else if n > 0 {
				rc.log.Info("webhook receipts pruned", "count", n)
			}
		}
	}
}
