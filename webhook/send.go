package webhook

// This file owns what goes out: a notice for each settlement of the classes set up, queued in the state file and
// delivered, signed anew, until the operator's system takes it or its time is over. It must never make the Core
// wait, follow a redirect, or change a notice's id or body between deliveries.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oakthread"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
)

const (
	deliverTime = 15 * time.Second
	deliverers  = 8               // deliveries at a time
	perOperator = 3               // of them to one operator, so that a slow one does not hold up the others
	handWait    = 65536           // settlements that may wait for the disk
	lastWait    = 2 * time.Second // for deliveries under way at the end
)

// settled is the data of a notice.
type settled struct {
	Call     string `json:"call_id"`
	Message  string `json:"message_id,omitempty"` // the webhook that asked for the call
	Class    string `json:"class"`
	Function string `json:"function"`
	Outcome  string `json:"outcome"` // served, refused or failed
	Reason   string `json:"reason,omitempty"`
}

func word(o oakthread.Outcome) string {
	if o == oakthread.TimedOut {
		return failed
	}
	return o.String()
}

func reason(o oakthread.Outcome, abandoned bool) string {
	switch {
	case abandoned:
		return "the caller left"
	case o == oakthread.TimedOut:
		return "out of time"
	}
	return ""
}

// Sender queues and delivers notices.
type Sender struct {
	ring    *Ring
	store   *Store
	clients map[string]*http.Client // by operator
	classes []Class
	tell    map[string]bool // classes whose settlements are told
	byPlace map[int]string  // operator by tenant
	o       *Options
	log     *slog.Logger
	bell    chan struct{}
	mu      sync.Mutex
	hand    []*notice
	lost    int
}

// NewSender makes a Sender. transport, if given, makes what leads to an operator's system.
func NewSender(o *Options, ring *Ring, store *Store, classes []Class, tenants []string, transport func(Operator) http.RoundTripper, log *slog.Logger) (*Sender, error) {
	if store != nil {
		if err := store.soon(monotime.Now(), max(o.RetryMax.Duration, o.Retry.Duration)); err != nil {
			return nil, fmt.Errorf("webhooks: state file: %w", err)
		}
	}
	s := &Sender{ring: ring, store: store, classes: classes, tell: map[string]bool{}, byPlace: map[int]string{}, o: o,
		log: log, bell: make(chan struct{}, 1)}
	s.clients = map[string]*http.Client{}
	for _, op := range ring.operators() {
		c := &http.Client{Timeout: deliverTime,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		if transport != nil {
			c.Transport = transport(op)
		}
		s.clients[op.Name] = c
	}
	for _, n := range o.Notify {
		s.tell[n] = true
		if o.State == "" {
			return nil, fmt.Errorf("webhooks: notices of class %q need a state file", n)
		}
	}
	for i, t := range tenants {
		for _, op := range o.Operators {
			if op.Tenant == t {
				s.byPlace[i] = op.Name
			}
		}
	}
	return s, nil
}

// notice makes the notice of a settlement; nil where none is wanted. Its id follows from the call's, so that a
// settlement told twice is one notice.
func (s *Sender) notice(operator string, d settled, now time.Time) *notice {
	wanted := false
	for _, op := range s.ring.operators() {
		wanted = wanted || op.Name == operator && op.Notify != ""
	}
	if !wanted || !s.tell[d.Class] {
		return nil
	}
	body, err := json.Marshal(struct {
		Type string    `json:"type"`
		Time time.Time `json:"timestamp"`
		Data settled   `json:"data"`
	}{d.Class + ".settled", now.UTC(), d})
	if err != nil {
		s.log.Error("notice not made", "call", d.Call, "err", err)
		return nil
	}
	return &notice{ID: "msg_" + d.Call, Operator: operator, Body: body, Made: monotime.Now()}
}

// Settled takes a settlement from the Core, in its loop: it only queues. Calls that a webhook asked for have a
// receipt, with which their notice is written.
func (s *Sender) Settled(st oakthread.Completion) {
	q := st.Request
	if op, ok := s.byPlace[q.Tenant]; ok && q.Ref == "" {
		n := s.notice(op, settled{Call: q.ID, Class: s.classes[q.Class].Name, Function: q.Key,
			Outcome: word(st.Answer.Outcome), Reason: reason(st.Answer.Outcome, st.Abandoned)}, st.At)
		if n == nil {
			return
		}
		s.mu.Lock()
		if len(s.hand) < handWait {
			s.hand = append(s.hand, n)
		} else {
			s.lost++
		}
		s.mu.Unlock()
		s.wake()
	}
}

func (s *Sender) wake() {
	select {
	case s.bell <- struct{}{}:
	default:
	}
}

// Flush writes what is in hand to the state file.
func (s *Sender) Flush() error {
	s.mu.Lock()
	hand, lost := s.hand, s.lost
	s.hand, s.lost = nil, 0
	s.mu.Unlock()
	if lost > 0 {
		s.log.Error("notices lost: the disk is too slow", "count", lost)
	}
	if len(hand) == 0 {
		return nil
	}
	err := s.store.enqueue(hand)
	if err != nil {
		s.mu.Lock()
		s.hand = append(hand, s.hand...)
		s.mu.Unlock()
	}
	return err
}

// Run delivers notices until ctx ends; then it lets those under way end and writes what is left in hand.
func (s *Sender) Run(ctx context.Context) {
	out, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(lastWait, cut) })()
	type end struct{ id, op string }
	busy, byOp, ends := map[string]bool{}, map[string]int{}, make(chan end)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait := s.o.Retry.Duration
		if err := s.Flush(); err != nil {
			s.log.Error("notices not written, trying again", "err", err)
		}
		ns, next, err := s.store.due(monotime.Now(), func(n *notice) bool {
			if busy[n.ID] || len(busy) >= deliverers || byOp[n.Operator] >= perOperator {
				return false
			}
			busy[n.ID] = true
			byOp[n.Operator]++
			return true
		})
		if err != nil {
			s.log.Error("notices not read", "err", err)
		} else if !next.IsZero() {
			wait = min(wait, next.Sub(monotime.Now().Round(0)))
		}
		for _, n := range ns {
			go func() {
				s.deliver(out, n)
				ends <- end{n.ID, n.Operator}
			}()
		}
		timer.Reset(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
		case <-s.bell:
		case <-timer.C:
		case e := <-ends:
			delete(busy, e.id)
			byOp[e.op]--
		}
	}
	for range busy {
		<-ends
	}
	s.flushAtEnd()
}

// flushAtEnd writes what is left in hand; a disk that fails is tried again for a while.
func (s *Sender) flushAtEnd() {
	var backoff neterr.Backoff
	for until := time.Now().Add(lastWait); ; {
		err := s.Flush()
		if err == nil {
			return
		}
		if time.Now().After(until) {
			s.log.Error("notices not written, lost at the end", "err", err)
			return
		}
		time.Sleep(backoff.Next())
	}
}

// deliver makes one delivery and books how it ended.
func (s *Sender) deliver(ctx context.Context, n *notice) {
	status, wait, err := s.post(ctx, n)
	n.Tries++
	switch {
	case err != nil && ctx.Err() != nil:
		return // it stays queued as it is
	case err == nil && status/100 == 2:
		err = s.store.delivered(n.ID)
	case status == http.StatusGone || n.Waited > s.o.GiveUp.Duration:
		s.log.Error("notice given up", "id", n.ID, "operator", n.Operator, "tries", n.Tries, "status", status, "err", err)
		err = s.store.putAside(n)
	default:
		s.log.Warn("notice not delivered", "id", n.ID, "operator", n.Operator, "tries", n.Tries, "status", status, "err", err)
		wait = max(wait, s.backoff(n.Tries))
		n.Waited += wait
		err = s.store.later(n, monotime.Now().Add(wait))
	}
	if err != nil {
		s.log.Error("notice not booked, it will be delivered again", "id", n.ID, "err", err)
	}
}

// backoff doubles from Retry to RetryMax, less up to a half by chance so that many do not come back together.
func (s *Sender) backoff(tries int) time.Duration {
	d := s.o.Retry.Duration
	for i := 1; i < tries && d < s.o.RetryMax.Duration; i++ {
		d *= 2
	}
	d = min(d, s.o.RetryMax.Duration)
	return d/2 + rand.N(d/2+1)
}

// post sends a notice once, signed now.
func (s *Sender) post(ctx context.Context, n *notice) (status int, wait time.Duration, err error) {
	h, op, err := s.ring.sign(n.Operator, n.ID, time.Now(), n.Body)
	if err != nil {
		return 0, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, op.Notify, bytes.NewReader(n.Body))
	if err != nil {
		return 0, 0, err
	}
	req.Header = h
	h.Set("Content-Type", "application/json")
	resp, err := s.clients[op.Name].Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxMessage))
	if sec, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && sec > 0 {
		wait = min(time.Duration(sec)*time.Second, s.o.RetryMax.Duration)
	}
	return resp.StatusCode, wait, nil
}

// Waiting counts the notices not yet delivered, and those given up.
func (s *Sender) Waiting() (open, given int, err error) {
	if err := s.Flush(); err != nil {
		return 0, 0, err
	}
	return s.store.waiting()
}
