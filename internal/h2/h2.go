// Package h2 serves HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3). The handler
// is the one that serves the platform's HTTP/1.1 port.
package h2

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"oakthread/internal/neterr"
)

const (
	defaultConns   = 64
	defaultStreams = 250

	readTimeout     = 2 * time.Second  // for the head of the connection preface
	pingInterval    = 15 * time.Second // time without a frame before a PING checks the connection
	pingTimeout     = 5 * time.Second
	writeTimeout    = 5 * time.Second // without a byte written, the connection is closed
	connIdleTimeout = time.Minute

	maxHeaderBytes = 16 << 10
	// receiveWindowBytes is the flow-control window for request bytes, per stream and per
	// connection.
	receiveWindowBytes = 64 << 10
)

// Options are the [http2] section of the configuration.
type Options struct {
	Listen  string
	Conns   int // limit on open connections; 0: 64
	Streams int // limit on concurrent streams of one connection; 0: 250
}

// MaxConns returns the limit on open connections, the default if none is set.
func (o Options) MaxConns() int {
	if o.Conns <= 0 {
		return defaultConns
	}
	return o.Conns
}

// maxStreams returns the limit on concurrent streams of one connection, the default if none is
// set.
func (o Options) maxStreams() int {
	if o.Streams <= 0 {
		return defaultStreams
	}
	return o.Streams
}

// Drain bounds the graceful shutdown of a server.
type Drain struct {
	Linger time.Duration // new streams are accepted for this long after the shutdown began
	// Deadline returns, once GOAWAY is sent, until when the streams in flight are answered.
	Deadline func() time.Time
}

// Serve serves ln until ctx ends. It then drains: it accepts streams for drain.Linger, sends
// GOAWAY, answers the accepted streams until drain.Deadline, and returns nil. It returns the error
// of the listener if that fails first.
func Serve(
	ctx context.Context, ln net.Listener, handler http.Handler, options Options, drain Drain, log *slog.Logger,
) error {
	server := newServer(handler, options, log)
	served := make(chan error, 1)
	go func() { // returns once Shutdown or Close has closed the listener
		served <- server.Serve(netutil.LimitListener(neterr.NewListener(ln, log), options.MaxConns()))
	}()
	for _, wait := range []<-chan struct{}{ctx.Done(), afterDone(ctx, drain.Linger)} {
		select {
		case err := <-served:
			return err
		case <-wait:
		}
	}
	log.Info("http2 drain started")
	drainCtx, cancel := context.WithDeadline(context.Background(), drain.Deadline())
	defer cancel()
	err := server.Shutdown(drainCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close() // no stream is in flight on the connections left
	}
	return err
}

// newServer returns a server that speaks only HTTP/2 with prior knowledge.
func newServer(handler http.Handler, options Options, log *slog.Logger) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(streamWriter{w}, r)
		}),
		Protocols:         protocols,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       connIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          options.maxStreams(),
			MaxReceiveBufferPerConnection: receiveWindowBytes,
			MaxReceiveBufferPerStream:     receiveWindowBytes,
			SendPingTimeout:               pingInterval,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              writeTimeout,
		},
	}
}

// streamWriter writes the response of one stream. It drops the Connection header with which the
// handler closes an HTTP/1.1 connection after a malformed request: on HTTP/2 the other streams of
// the connection are not affected.
type streamWriter struct{ http.ResponseWriter }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (s streamWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// WriteHeader writes the response header without Connection.
func (s streamWriter) WriteHeader(code int) {
	s.Header().Del("Connection")
	s.ResponseWriter.WriteHeader(code)
}

// afterDone returns a channel that is closed linger after ctx has ended.
func afterDone(ctx context.Context, linger time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() { time.AfterFunc(linger, func() { close(ended) }) })
	return ended
}
