// Package h2 serves HTTP/2 without TLS, by prior knowledge (RFC 9113, section 3.3). Requests are read and
// answered by the same handler as on the platform's port.
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

	readTimeout     = 2 * time.Second  // for a connection preface, and for a complete request
	pingInterval    = 15 * time.Second // without a frame, after which a ping detects a dead connection
	pingTimeout     = 5 * time.Second
	writeTimeout    = 5 * time.Second // a client that accepts no byte for this long loses its connection
	connIdleTimeout = time.Minute

	maxHeaderBytes = 16 << 10
	// receiveWindowBytes limits the bytes of requests in transit on one connection.
	receiveWindowBytes = 64 << 10
)

// Options are the operator's [http2] section.
type Options struct {
	Listen  string
	Conns   int // limit on open connections; 0: 64
	Streams int // limit on concurrent streams of one connection; 0: 250
}

// MaxConns returns the limit on open connections.
func (o Options) MaxConns() int {
	if o.Conns <= 0 {
		return defaultConns
	}
	return o.Conns
}

// maxStreams returns the limit on concurrent streams of one connection.
func (o Options) maxStreams() int {
	if o.Streams <= 0 {
		return defaultStreams
	}
	return o.Streams
}

// Drain bounds the graceful shutdown of a server.
type Drain struct {
	Linger  time.Duration // new streams are accepted for so long after the shutdown began
	Timeout time.Duration // in which the streams in flight are answered, after GOAWAY
}

// Serve serves ln until ctx ends. It then drains: it accepts streams for drain.Linger, sends GOAWAY, answers
// the streams it has accepted within drain.Timeout, and returns nil.
func Serve(
	ctx context.Context, ln net.Listener, handler http.Handler, options Options, drain Drain, log *slog.Logger,
) error {
	server := newServer(handler, options, log)
	served := make(chan error, 1)
	go func() { // ends with the listener, which Shutdown and Close close
		served <- server.Serve(netutil.LimitListener(neterr.NewListener(ln, log), options.MaxConns()))
	}()
	for _, wait := range []<-chan struct{}{ctx.Done(), after(ctx, drain.Linger)} {
		select {
		case err := <-served:
			return err
		case <-wait:
		}
	}
	log.Info("http2 drain started")
	drainCtx, cancel := context.WithTimeout(context.Background(), drain.Timeout)
	defer cancel()
	err := server.Shutdown(drainCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close() // no stream is in flight on the connections left
	}
	return err
}

// newServer returns a server that speaks HTTP/2 by prior knowledge only.
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

// streamWriter writes the response of one stream. It drops the Connection header with which the handler
// ends an HTTP/1.1 connection behind a malformed request: the other streams are not affected by it.
type streamWriter struct{ http.ResponseWriter }

// Unwrap returns the writer below, for http.ResponseController.
func (s streamWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// WriteHeader writes the head of the response.
func (s streamWriter) WriteHeader(code int) {
	s.Header().Del("Connection")
	s.ResponseWriter.WriteHeader(code)
}

// after returns a channel that is closed linger after ctx has ended.
func after(ctx context.Context, linger time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() { time.AfterFunc(linger, func() { close(ended) }) })
	return ended
}
