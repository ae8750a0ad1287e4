package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"oakthread/internal/monotime"
	"oakthread/internal/mutant"
	"oakthread/internal/violation"
)

// Serve runs an HTTP server on ln, which holds at most conns connections, until ctx ends. Then it goes on taking
// calls for linger, since clients learn late, answers all it has taken, and returns nil. longest is the least time
// given to those.
func (f *Server) Serve(ctx context.Context, ln net.Listener, conns int, linger, longest time.Duration, log *slog.Logger) error {
	held := newConnLimiter(ln, conns, log)
	srv := &http.Server{
		Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout, ConnState: held.handleConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	f.limiter.Store(held)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(held) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	f.draining.Store(true)
	if mutant.On(mutant.EndsAtOnce) {
		linger = 0
		held.setKeepAlives(false)
	}
	log.Info("ending: still taking calls", "for", linger)
	select {
	case err := <-failed:
		return err
	case <-time.After(linger):
	}
	log.Info("ending: no new calls", "open", f.inFlight.Load())
	last := time.Now().Add(longest)
	if taken := monotime.Time(f.latestDeadline.Load()).Add(linger); taken.After(last) {
		last = taken
	}
	end, done := context.WithDeadline(context.Background(), last)
	defer done()
	defer srv.Close()
	// What the kernel has accepted is taken; then connections end as nothing is under way on them. http.Server.Shutdown
	// would reset the backlog and close kept connections on which half a head has come.
	f.keepAlivesDisabled.Store(true)
	if err := held.stopAccepting(); err != nil {
		return fmt.Errorf("end the listener: %w", err)
	}
	select {
	case err := <-failed:
		if !errors.Is(err, errAcceptStopped) {
			return err
		}
	case <-end.Done():
	}
	held.setKeepAlives(false)
	if !held.waitUntilEmpty(end) && f.inFlight.Load() > 0 {
		f.reportViolation(violation.Answered, violation.PathEnd, "", fmt.Sprintf("%d calls are left without an answer", f.inFlight.Load()))
		return context.DeadlineExceeded
	}
	return nil // but for connections on which no call was under way
}
