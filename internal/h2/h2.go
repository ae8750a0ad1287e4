// Package h2 is the front for HTTP/2 without TLS, by prior knowledge (RFC 9113, 3.3). It owns the server and its end; the
// calls themselves are read and answered by the same handler as on the platform's port. It must never take a stream past
// the allowance at a drain, nor end one that it took without its answer.
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

// Options are the operator's [http2] section.
type Options struct {
	Listen  string
	Conns   int // held at a time; 0: 64
	Streams int // open at a time on one connection; 0: 250
}

const (
	defaultConns   = 64
	defaultStreams = 250
	readTime       = 2 * time.Second  // for a preface, and for a whole request
	pingAfter      = 15 * time.Second // without a frame: a connection that died without a word shows
	pingTime       = 5 * time.Second
	stallTime      = 5 * time.Second // a reader that takes no byte for so long ends its connection
	idleTime       = time.Minute
	window         = 64 << 10 // bytes of requests that one connection may have under way
)

// Places is how many connections the front holds.
func (o Options) Places() int {
	if o.Conns <= 0 {
		return defaultConns
	}
	return o.Conns
}

// Serve serves until ctx ends. Then it goes on taking streams for linger, tells clients to go away, answers all it has
// taken within longest, and returns nil.
func Serve(ctx context.Context, ln net.Listener, calls http.Handler, o Options, linger, longest time.Duration, log *slog.Logger) error {
	if o.Streams <= 0 {
		o.Streams = defaultStreams
	}
	only := &http.Protocols{}
	only.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { calls.ServeHTTP(stream{w}, r) }), Protocols: only, ReadHeaderTimeout: readTime, IdleTimeout: idleTime, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: o.Streams, MaxReceiveBufferPerConnection: window, MaxReceiveBufferPerStream: window,
			SendPingTimeout: pingAfter, PingTimeout: pingTime, WriteByteTimeout: stallTime}}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(netutil.LimitListener(neterr.NewListener(ln, log), o.Places())) }()
	for _, wait := range []<-chan struct{}{ctx.Done(), after(ctx, linger)} {
		select {
		case err := <-failed:
			return err
		case <-wait:
		}
	}
	log.Info("http2: going away, no new streams")
	end, done := context.WithTimeout(context.Background(), longest)
	defer done()
	err := srv.Shutdown(end)
	if errors.Is(err, context.DeadlineExceeded) {
		err = srv.Close() // what is left open has no stream under way
	}
	return err
}

// stream is the answer on one stream. A call that cannot be read ends its connection on HTTP/1, where what comes behind it
// is not to be trusted; here the other streams have nothing to do with it.
type stream struct{ http.ResponseWriter }

func (s stream) Unwrap() http.ResponseWriter { return s.ResponseWriter }

func (s stream) WriteHeader(code int) {
	s.Header().Del("Connection")
	s.ResponseWriter.WriteHeader(code)
}

// after is closed linger after ctx has ended.
func after(ctx context.Context, linger time.Duration) <-chan struct{} {
	c := make(chan struct{})
	context.AfterFunc(ctx, func() { time.AfterFunc(linger, func() { close(c) }) })
	return c
}
