package webhook

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"oakthread"
	"oakthread/classes"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
)

const (
	// maxUnwritten bounds the notifications in memory that wait to be written to the state file.
	maxUnwritten = 65536

	// shutdownGrace is how long shutdown waits for deliveries in progress and retries failed
	// writes.
	shutdownGrace = 2 * time.Second
)

// completionData is the data of a notification.
type completionData struct {
	CallID    string `json:"call_id"`
	MessageID string `json:"message_id,omitempty"` // of the webhook that requested the call
	Class     string `json:"class"`
	Function  string `json:"function"`
	Outcome   string `json:"outcome"` // served, refused or failed
	Reason    string `json:"reason,omitempty"`
}

// outcomeText returns the outcome as written in notifications, where a call that timed out is
// failed.
func outcomeText(outcome oakthread.Outcome) string {
	if outcome == oakthread.TimedOut {
		return statusFailed
	}
	return outcome.String()
}

// outcomeReason returns the reason of an outcome as written in notifications, or "" if there is
// none.
func outcomeReason(outcome oakthread.Outcome, abandoned bool) string {
	switch {
	case abandoned:
		return "the caller left"
	case outcome == oakthread.TimedOut:
		return "out of time"
	}
	return ""
}

// Notifier queues notifications of completions in the state file and delivers them to the
// operators. A notification is sent, with a new signature for each attempt, until the operator's
// endpoint accepts it or it is abandoned. An endpoint may receive it more than once.
type Notifier struct {
	options          *Options
	keys             *KeySet
	store            *Store
	clients          map[string]*http.Client // by operator
	classes          *classes.Source
	notifiedClasses  map[string]bool
	operatorByTenant map[int]string
	log              *slog.Logger
	wakeup           chan struct{} // buffered; makes Run check the outbox

	mu        sync.Mutex
	unwritten []*notification // not yet in the state file
	dropped   int             // since the last write, because unwritten was full
}

// notifierConfig holds the settings and dependencies of a Notifier.
type notifierConfig struct {
	options   *Options
	keys      *KeySet
	store     *Store
	classes   *classes.Source
	tenants   []string
	transport func(Operator) http.RoundTripper // to an operator's endpoint; nil: http.DefaultTransport
	log       *slog.Logger
}

// newNotifier returns a Notifier. Notifications in the outbox whose due time was set by a clock
// that was ahead become due now. It returns an error if notifications are configured without a
// state file.
func newNotifier(cfg notifierConfig) (*Notifier, error) {
	s := &Notifier{
		options:          cfg.options,
		keys:             cfg.keys,
		store:            cfg.store,
		clients:          map[string]*http.Client{},
		classes:          cfg.classes,
		notifiedClasses:  map[string]bool{},
		operatorByTenant: map[int]string{},
		log:              cfg.log,
		wakeup:           make(chan struct{}, 1),
	}
	if cfg.store != nil {
		if err := s.resetSchedule(); err != nil {
			return nil, err
		}
	}
	for _, operator := range cfg.keys.operators() {
		s.clients[operator.Name] = newClient(operator, cfg.transport)
	}
	for _, class := range cfg.options.NotifiedClasses {
		s.notifiedClasses[class] = true
		if cfg.options.State == "" {
			return nil, fmt.Errorf("webhooks: notifications of class %q need a state file", class)
		}
	}
	for i, tenant := range cfg.tenants {
		for _, operator := range cfg.options.Operators {
			if operator.Tenant == tenant {
				s.operatorByTenant[i] = operator.Name
			}
		}
	}
	return s, nil
}

// resetSchedule makes notifications in the outbox due now if their due time was set by a clock that
// was ahead.
func (s *Notifier) resetSchedule() error {
	maxDelay := max(s.options.MaxBackoff.Duration, s.options.InitialBackoff.Duration)
	if err := s.store.resetFarSchedule(monotime.Now(), maxDelay); err != nil {
		return fmt.Errorf("webhooks: state file: %w", err)
	}
	return nil
}

// newNotification returns the notification of a completion, or nil if notifications are not
// configured for the operator or the class. Its ID is derived from the call's, so that a completion
// that is reported twice results in one notification.
func (s *Notifier) newNotification(operator string, data completionData, now time.Time) *notification {
	if !s.notifiedClasses[data.Class] || !s.hasEndpoint(operator) {
		return nil
	}
	body, err := json.Marshal(struct {
		Type string         `json:"type"`
		Time time.Time      `json:"timestamp"`
		Data completionData `json:"data"`
	}{data.Class + ".settled", now.UTC(), data})
	if err != nil {
		s.log.Error("notification encoding failed", "request_id", data.CallID, "error", err)
		return nil
	}
	return &notification{ID: "msg_" + data.CallID, Operator: operator, Body: body, CreatedAt: monotime.Now()}
}

// hasEndpoint reports whether an operator has a URL for notifications.
func (s *Notifier) hasEndpoint(name string) bool {
	for _, operator := range s.keys.operators() {
		if operator.Name == name && operator.NotifyURL != "" {
			return true
		}
	}
	return false
}

// HandleCompletion is called by the core's event loop. It queues the notification of a completion
// in memory without blocking. Calls that a webhook requested are skipped: their notifications are
// written together with the outcome in the receipt.
func (s *Notifier) HandleCompletion(completion oakthread.Completion) {
	request := completion.Request
	operator, ok := s.operatorByTenant[request.Tenant]
	if !ok || request.Ref != "" {
		return
	}
	class, _ := s.classes.Table().Numbered(request.Class) // the core accepts only numbers that are in use
	n := s.newNotification(operator, completionData{
		CallID:   request.ID,
		Class:    class.Name,
		Function: request.Key,
		Outcome:  outcomeText(completion.Answer.Outcome),
		Reason:   outcomeReason(completion.Answer.Outcome, completion.Abandoned),
	}, completion.At)
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

// wake makes Run check the outbox immediately.
func (s *Notifier) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Flush writes the notifications in memory to the state file. On an error they stay in memory and
// are written by the next call.
func (s *Notifier) Flush() error {
	s.mu.Lock()
	unwritten, dropped := s.unwritten, s.dropped
	s.unwritten, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		s.log.Error("notifications dropped", "count", dropped)
	}
	if len(unwritten) == 0 {
		return nil
	}
	err := s.store.enqueue(unwritten)
	if err != nil {
		s.mu.Lock()
		s.unwritten = append(unwritten, s.unwritten...)
		s.mu.Unlock()
	}
	return err
}

// flushOnShutdown writes the notifications in memory. A write that fails is retried for
// shutdownGrace.
func (s *Notifier) flushOnShutdown() {
	var backoff neterr.Backoff
	for deadline := time.Now().Add(shutdownGrace); ; {
		err := s.Flush()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.log.Error("notifications lost at shutdown", "error", err)
			return
		}
		time.Sleep(backoff.Next())
	}
}

// Pending returns the numbers of queued and of abandoned notifications in the state file, after
// writing those in memory to it.
func (s *Notifier) Pending() (queued, abandoned int, err error) {
	if err := s.Flush(); err != nil {
		return 0, 0, err
	}
	return s.store.notificationCounts()
}

// Run delivers notifications until ctx is done. Then it waits up to shutdownGrace for deliveries in
// progress, cancels those that remain and writes the notifications in memory to the state file.
func (s *Notifier) Run(ctx context.Context) {
	deliveryCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(shutdownGrace, cancel) })()
	active := newDeliveries()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait := s.startDue(deliveryCtx, active)
		timer.Reset(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
		case <-s.wakeup:
		case <-timer.C:
		case n := <-active.ended:
			active.remove(n)
		}
	}
	active.wait()
	s.flushOnShutdown()
}
