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
	deliveryTimeout          = 15 * time.Second
	maxDeliveries            = 8               // deliveries at a time
	maxDeliveriesPerOperator = 3               // of them to one operator, so that a slow one does not hold up the others
	maxUnwritten             = 65536           // settlements that may wait for the disk
	shutdownGrace            = 2 * time.Second // for deliveries under way at the end
)

// completionData is the data of a notice.
type completionData struct {
	CallID    string `json:"call_id"`
	MessageID string `json:"message_id,omitempty"` // the webhook that asked for the call
	Class     string `json:"class"`
	Function  string `json:"function"`
	Outcome   string `json:"outcome"` // served, refused or failed
	Reason    string `json:"reason,omitempty"`
}

func outcomeText(o oakthread.Outcome) string {
	if o == oakthread.TimedOut {
		return statusFailed
	}
	return o.String()
}

func outcomeReason(o oakthread.Outcome, abandoned bool) string {
	switch {
	case abandoned:
		return "the caller left"
	case o == oakthread.TimedOut:
		return "out of time"
	}
	return ""
}

// Notifier queues and delivers notices.
type Notifier struct {
	keys             *KeySet
	store            *Store
	clients          map[string]*http.Client // by operator
	classes          []Class
	notifiedClasses  map[string]bool // classes whose settlements are told
	operatorByTenant map[int]string  // operator by tenant
	options          *Options
	log              *slog.Logger
	wakeup           chan struct{}
	mu               sync.Mutex
	unwritten        []*notification
	dropped          int
}

// NewNotifier makes a Sender. transport, if given, makes what leads to an operator's system.
func NewNotifier(o *Options, ring *KeySet, store *Store, classes []Class, tenants []string, transport func(Operator) http.RoundTripper, log *slog.Logger) (*Notifier, error) {
	if store != nil {
		if err := store.resetFarSchedule(monotime.Now(), max(o.RetryMax.Duration, o.Retry.Duration)); err != nil {
			return nil, fmt.Errorf("webhooks: state file: %w", err)
		}
	}
	s := &Notifier{keys: ring, store: store, classes: classes, notifiedClasses: map[string]bool{}, operatorByTenant: map[int]string{}, options: o,
		log: log, wakeup: make(chan struct{}, 1)}
	s.clients = map[string]*http.Client{}
	for _, op := range ring.operators() {
		c := &http.Client{Timeout: deliveryTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		if transport != nil {
			c.Transport = transport(op)
		}
		s.clients[op.Name] = c
	}
	for _, n := range o.Notify {
		s.notifiedClasses[n] = true
		if o.State == "" {
			return nil, fmt.Errorf("webhooks: notices of class %q need a state file", n)
		}
	}
	for i, t := range tenants {
		for _, op := range o.Operators {
			if op.Tenant == t {
				s.operatorByTenant[i] = op.Name
			}
		}
	}
	return s, nil
}

// newNotification makes the notice of a settlement; nil where none is wanted. Its id follows from the call's, so that a
// settlement told twice is one notice.
func (s *Notifier) newNotification(operator string, d completionData, now time.Time) *notification {
	wanted := false
	for _, op := range s.keys.operators() {
		wanted = wanted || op.Name == operator && op.Notify != ""
	}
	if !wanted || !s.notifiedClasses[d.Class] {
		return nil
	}
	body, err := json.Marshal(struct {
		Type string         `json:"type"`
		Time time.Time      `json:"timestamp"`
		Data completionData `json:"data"`
	}{d.Class + ".settled", now.UTC(), d})
	if err != nil {
		s.log.Error("notice not made", "call", d.CallID, "err", err)
		return nil
	}
	return &notification{ID: "msg_" + d.CallID, Operator: operator, Body: body, CreatedAt: monotime.Now()}
}

// Settled takes a settlement from the Core, in its loop: it only queues. Calls that a webhook asked for have a
// receipt, with which their notice is written.
func (s *Notifier) Settled(st oakthread.Completion) {
	q := st.Request
	if op, ok := s.operatorByTenant[q.Tenant]; ok && q.Ref == "" {
		n := s.newNotification(op, completionData{CallID: q.ID, Class: s.classes[q.Class].Name, Function: q.Key,
			Outcome: outcomeText(st.Answer.Outcome), Reason: outcomeReason(st.Answer.Outcome, st.Abandoned)}, st.At)
		if n == nil {
			return
		}
		s.mu.Lock()
		if len(s.unwritten) < maxUnwritten {
			s.unwritten = append(s.unwritten, n)
		} else {
			s.dropped++
		}
		s.mu.Unlock()
		s.wake()
	}
}

func (s *Notifier) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Flush writes what is in hand to the state file.
func (s *Notifier) Flush() error {
	s.mu.Lock()
	hand, lost := s.unwritten, s.dropped
	s.unwritten, s.dropped = nil, 0
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
		s.unwritten = append(hand, s.unwritten...)
		s.mu.Unlock()
	}
	return err
}

// Run delivers notices until ctx ends; then it lets those under way end and writes what is left in hand.
func (s *Notifier) Run(ctx context.Context) {
	out, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(shutdownGrace, cut) })()
	type end struct{ id, op string }
	busy, byOp, ends := map[string]bool{}, map[string]int{}, make(chan end)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait := s.options.Retry.Duration
		if err := s.Flush(); err != nil {
			s.log.Error("notices not written, trying again", "err", err)
		}
		ns, next, err := s.store.due(monotime.Now(), func(n *notification) bool {
			if busy[n.ID] || len(busy) >= maxDeliveries || byOp[n.Operator] >= maxDeliveriesPerOperator {
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
		case <-s.wakeup:
		case <-timer.C:
		case e := <-ends:
			delete(busy, e.id)
			byOp[e.op]--
		}
	}
	for range busy {
		<-ends
	}
	s.flushOnShutdown()
}

// flushOnShutdown writes what is left in hand; a disk that fails is tried again for a while.
func (s *Notifier) flushOnShutdown() {
	var backoff neterr.Backoff
	for until := time.Now().Add(shutdownGrace); ; {
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
func (s *Notifier) deliver(ctx context.Context, n *notification) {
	status, wait, err := s.post(ctx, n)
	n.Attempts++
	switch {
	case err != nil && ctx.Err() != nil:
		return // it stays queued as it is
	case err == nil && status/100 == 2:
		err = s.store.remove(n.ID)
	case status == http.StatusGone || n.TotalBackoff > s.options.GiveUp.Duration:
		s.log.Error("notice given up", "id", n.ID, "operator", n.Operator, "tries", n.Attempts, "status", status, "err", err)
		err = s.store.abandon(n)
	default:
		s.log.Warn("notice not delivered", "id", n.ID, "operator", n.Operator, "tries", n.Attempts, "status", status, "err", err)
		wait = max(wait, s.backoff(n.Attempts))
		n.TotalBackoff += wait
		err = s.store.reschedule(n, monotime.Now().Add(wait))
	}
	if err != nil {
		s.log.Error("notice not booked, it will be delivered again", "id", n.ID, "err", err)
	}
}

// backoff doubles from Retry to RetryMax, less up to a half by chance so that many do not come back together.
func (s *Notifier) backoff(tries int) time.Duration {
	d := s.options.Retry.Duration
	for i := 1; i < tries && d < s.options.RetryMax.Duration; i++ {
		d *= 2
	}
	d = min(d, s.options.RetryMax.Duration)
	return d/2 + rand.N(d/2+1)
}

// post sends a notice once, signed now.
func (s *Notifier) post(ctx context.Context, n *notification) (status int, wait time.Duration, err error) {
	h, op, err := s.keys.sign(n.Operator, n.ID, time.Now(), n.Body)
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxMessageBytes))
	if sec, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && sec > 0 {
		wait = min(time.Duration(sec)*time.Second, s.options.RetryMax.Duration)
	}
	return resp.StatusCode, wait, nil
}

// Pending counts the notices not yet delivered, and those given up.
func (s *Notifier) Pending() (open, given int, err error) {
	if err := s.Flush(); err != nil {
		return 0, 0, err
	}
	return s.store.notificationCounts()
}
