package webhook

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"oakthread/internal/monotime"
)

const (
	deliveryTimeout          = 15 * time.Second // of one attempt
	maxDeliveries            = 8                // in progress at a time
	maxDeliveriesPerOperator = 3                // so that a slow operator does not hold up the others
)

// deliveries tracks the delivery attempts in progress. Only the goroutine of Run may use it, except
// for ended, to which the goroutines of the attempts send.
type deliveries struct {
	byID       map[string]bool
	byOperator map[string]int
	ended      chan *notification
}

func newDeliveries() *deliveries {
	return &deliveries{byID: map[string]bool{}, byOperator: map[string]int{}, ended: make(chan *notification)}
}

// reserve reports whether an attempt to deliver n may start now. If so, it counts the attempt as in
// progress.
func (d *deliveries) reserve(n *notification) bool {
	if d.byID[n.ID] || len(d.byID) >= maxDeliveries || d.byOperator[n.Operator] >= maxDeliveriesPerOperator {
		return false
	}
	d.byID[n.ID] = true
	d.byOperator[n.Operator]++
	return true
}

// remove removes an attempt that has ended.
func (d *deliveries) remove(n *notification) {
	delete(d.byID, n.ID)
	d.byOperator[n.Operator]--
}

// wait waits for all attempts in progress to end.
func (d *deliveries) wait() {
	for range d.byID {
		<-d.ended
	}
}

// startDue writes the notifications in memory to the outbox, starts a delivery attempt for each
// notification that is due, within the limits on deliveries in progress, and returns the time until
// the outbox must be checked again.
func (s *Notifier) startDue(ctx context.Context, active *deliveries) time.Duration {
	wait := s.options.InitialBackoff.Duration
	if err := s.Flush(); err != nil {
		s.log.Error("notification write failed", "error", err)
	}
	ready, next, err := s.store.due(monotime.Now(), active.reserve)
	if err != nil {
		s.log.Error("notification read failed", "error", err)
	} else if !next.IsZero() {
		wait = min(wait, next.Sub(monotime.Now().Round(0)))
	}
	for _, n := range ready {
		go func() { // Run receives from ended, also while it shuts down
			s.deliver(ctx, n)
			active.ended <- n
		}()
	}
	return wait
}

// deliver makes one attempt to deliver a notification and records its result in the outbox.
func (s *Notifier) deliver(ctx context.Context, n *notification) {
	status, retryAfter, err := s.post(ctx, n)
	n.Attempts++
	log := s.log.With("notification_id", n.ID, "operator", n.Operator, "attempt", n.Attempts)
	switch {
	case err != nil && ctx.Err() != nil:
		return // shutdown: the notification stays queued as it was
	case err == nil && status/100 == 2:
		err = s.store.remove(n.ID)
	case status == http.StatusGone || n.TotalBackoff > s.options.MaxTotalBackoff.Duration:
		log.Error("notification abandoned", "status", status, "error", err)
		err = s.store.abandon(n)
	default:
		log.Warn("notification delivery failed", "status", status, "error", err)
		wait := max(retryAfter, s.backoff(n.Attempts))
		n.TotalBackoff += wait
		err = s.store.reschedule(n, monotime.Now().Add(wait))
	}
	if err != nil {
		log.Error("notification update failed", "error", err)
	}
}

// backoff returns the wait after a number of attempts: it doubles from InitialBackoff up to
// MaxBackoff, less a random part of up to one half, so that the retries of many notifications are
// spread out.
func (s *Notifier) backoff(attempts int) time.Duration {
	wait := s.options.InitialBackoff.Duration
	for i := 1; i < attempts && wait < s.options.MaxBackoff.Duration; i++ {
		wait *= 2
	}
	wait = min(wait, s.options.MaxBackoff.Duration)
	return wait/2 + rand.N(wait/2+1)
}

// post sends a notification once, signed with the current time. It returns the status of the
// response and its Retry-After, capped at MaxBackoff; 0 if there is none in seconds.
func (s *Notifier) post(ctx context.Context, n *notification) (status int, retryAfter time.Duration, err error) {
	header, operator, err := s.keys.sign(n.Operator, n.ID, time.Now(), n.Body)
	if err != nil {
		return 0, 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, operator.NotifyURL, bytes.NewReader(n.Body))
	if err != nil {
		return 0, 0, err
	}
	request.Header = header
	header.Set("Content-Type", "application/json")
	response, err := s.clients[operator.Name].Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxMessageBytes)) // so that the connection is reused
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		retryAfter = min(time.Duration(seconds)*time.Second, s.options.MaxBackoff.Duration)
	}
	return response.StatusCode, retryAfter, nil
}

// newClient returns the HTTP client for an operator's endpoint. It does not follow redirects.
func newClient(operator Operator, transport func(Operator) http.RoundTripper) *http.Client {
	client := &http.Client{
		Timeout:       deliveryTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	if transport != nil {
		client.Transport = transport(operator)
	}
	return client
}
