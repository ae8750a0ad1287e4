package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"oakthread/internal/monotime"
	"oakthread/internal/mutant"
	"oakthread/internal/neterr"
	"oakthread/internal/violation"
)

const (
	clientIdleTimeout = 5 * time.Second // clients close after 4 s: connections still open are dead
	// headerTimeout and bodyTimeout limit the time to a complete head and from there to a complete
	// body. Their sum is below requestReadTimeout.
	headerTimeout = 1500 * time.Millisecond
	bodyTimeout   = 1200 * time.Millisecond
	// requestReadTimeout is the time within which the platform requires that a client that does not
	// send a complete request is rejected or its connection closed.
	requestReadTimeout = 3 * time.Second
	// defaultRequestMemory is the value of Server.RequestMemory if it is not set, in bytes.
	defaultRequestMemory = 64 << 20
	// maxRequestHeaderBytes limits the head of a request.
	maxRequestHeaderBytes = 16 << 10
)

// Serve serves ln, with at most conns connections, until ctx ends. It then drains: it still accepts
// requests for linger, since clients learn of the shutdown with a delay, answers all requests that
// it has read, and returns nil. After linger, requests in flight get until DrainDeadline. It returns
// context.DeadlineExceeded if some are left without a response.
func (s *Server) Serve(
	ctx context.Context, ln net.Listener, conns int, linger time.Duration, log *slog.Logger,
) error {
	limiter := newConnLimiter(ln, conns, cmp.Or(s.RequestMemory, defaultRequestMemory), log)
	httpServer := s.newHTTPServer(limiter, log)
	s.limiter.Store(limiter)
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(limiter) }() // returns with the listener, or on Close
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.drainTerms.Store(newDrainTerms(time.Now(), linger, s.classes.Table().LongestTimeout()))
	s.draining.Store(true)
	if mutant.On(mutant.AbruptShutdown) {
		linger = 0
		limiter.setKeepAlives(false)
	}
	log.Info("drain started", "linger", linger)
	select {
	case err := <-served:
		return err
	case <-time.After(linger):
	}
	log.Info("drain stopped accepting", "in_flight", s.inFlight.Load())
	drainCtx, cancel := context.WithDeadline(context.Background(), s.DrainDeadline(linger))
	defer cancel()
	defer func() { _ = httpServer.Close() }()
	return s.drain(drainCtx, limiter, served)
}

// newHTTPServer returns an HTTP server for the connections of a limiter.
func (s *Server) newHTTPServer(limiter *connLimiter, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxRequestHeaderBytes,
		ConnState:         limiter.handleConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, conn)
		},
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
}

// DrainDeadline returns when a drain that stops accepting requests now gives up on those in flight:
// linger after the latest deadline of all requests that the server has handled, at any front, but
// not before the longest client timeout of a class and linger have passed.
func (s *Server) DrainDeadline(linger time.Duration) time.Time {
	deadline := time.Now().Add(s.classes.Table().LongestTimeout() + linger)
	if latest := monotime.Time(s.latestDeadline.Load()).Add(linger); latest.After(deadline) {
		return latest
	}
	return deadline
}

// drain accepts the connections in the kernel's backlog and closes each connection once it is idle,
// until none is left or ctx ends. http.Server.Shutdown would reset the connections in the backlog
// and close kept-alive connections on which part of a head has arrived.
func (s *Server) drain(ctx context.Context, limiter *connLimiter, served <-chan error) error {
	s.keepAlivesDisabled.Store(true)
	if err := limiter.stopAccepting(); err != nil {
		return fmt.Errorf("stop accepting connections: %w", err)
	}
	select {
	case err := <-served:
		if !errors.Is(err, neterr.ErrAcceptStopped) {
			return err
		}
	case <-ctx.Done():
	}
	limiter.setKeepAlives(false)
	if !limiter.waitUntilEmpty(ctx) && s.inFlight.Load() > 0 {
		s.reportViolation(violation.RuleAnswered, violation.PathShutdown, "",
			fmt.Sprintf("%d calls in flight were not answered before the drain deadline", s.inFlight.Load()))
		return context.DeadlineExceeded
	}
	return nil // connections without a request in flight may still be open
}
