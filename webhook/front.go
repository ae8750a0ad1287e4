package webhook

// This file owns the assembly of the webhook front: keys, state file, receiver, sender and the server with its
// identities. It must never start with a set-up under which a booking could run twice.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"golang.org/x/net/netutil"

	"oakthread"
	"oakthread/internal/neterr"
	"oakthread/spiffe"
)

const (
	reloadEvery = 2 * time.Second
	pruneEvery  = 10 * time.Minute
	countEvery  = time.Minute
	headerTime  = 5 * time.Second
)

// MaxConns is how many connections of senders the front holds, and MaxOut of its own to operators' systems.
const (
	MaxConns = 256
	MaxOut   = deliverers
)

// Front is the webhook front of a Core.
type Front struct {
	*Receiver
	ring    *Ring
	store   *Store
	sender  *Sender
	o       *Options
	src     spiffe.Source
	files   *spiffe.Files
	scratch string
	log     *slog.Logger
}

// Open sets the front up. src gives identities; nil: those of the operator's file, or none.
func Open(o *Options, core Doer, classes []Class, tenants []string, src spiffe.Source, log *slog.Logger) (f *Front, err error) {
	f = &Front{o: o, src: src, log: log}
	if o.SPIFFE.SVID != "" && src == nil {
		if f.files, err = spiffe.NewFiles(o.SPIFFE.SVID, o.SPIFFE.Key, o.SPIFFE.Bundle); err != nil {
			return nil, err
		}
		f.src = f.files
	}
	if f.ring, err = NewRing(o.Operators, log); err != nil {
		return nil, fmt.Errorf("webhooks: %w", err)
	}
	for _, op := range f.ring.operators() {
		if (f.src != nil) == op.id.IsZero() {
			return nil, fmt.Errorf("webhooks: operator %s: spiffe_id and the spiffe section go together", op.Name)
		}
	}
	path := o.State
	if path == "" { // what is safe to repeat needs receipts for as long as the process lives
		tmp, err := os.CreateTemp("", "oakthread-*.db")
		if err != nil {
			return nil, fmt.Errorf("webhooks: %w", err)
		}
		path, f.scratch = tmp.Name(), tmp.Name()
		tmp.Close()
	}
	if f.store, err = OpenStore(path, o.Receipts); err != nil {
		f.tidy()
		return nil, fmt.Errorf("webhooks: %w", err)
	}
	f.sender, err = NewSender(o, f.ring, f.store, classes, tenants, f.transport, log)
	if err == nil {
		f.Receiver, err = NewReceiver(core, o, f.ring, f.store, f.sender, classes, tenants, log)
	}
	if err != nil {
		f.tidy()
		return nil, err
	}
	return f, nil
}

func (f *Front) tidy() {
	if f.store != nil {
		f.store.Close()
	}
	if f.scratch != "" {
		os.Remove(f.scratch)
	}
}

// transport leads to one operator's system: with identities to that operator's alone.
func (f *Front) transport(op Operator) http.RoundTripper {
	t := &http.Transport{Proxy: nil, MaxConnsPerHost: perOperator, IdleConnTimeout: time.Minute}
	if f.src != nil {
		t.TLSClientConfig = spiffe.ClientTLS(f.src, op.id)
	}
	return t
}

// Settled takes a settlement from the Core. It returns at once.
func (f *Front) Settled(s oakthread.Completion) { f.sender.Settled(s) }

// Serve takes messages on ln and delivers notices until ctx ends; then it answers what it has taken and closes the
// state file. reload asks for the keys to be read again at once.
func (f *Front) Serve(ctx context.Context, ln net.Listener, reload <-chan time.Time) error {
	srv := &http.Server{Handler: f.Receiver, ReadHeaderTimeout: headerTime, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelWarn)}
	ln = netutil.LimitListener(neterr.NewListener(ln, f.log), MaxConns)
	beside, done := context.WithCancel(context.Background())
	var work sync.WaitGroup
	every, prune, minute := time.NewTicker(reloadEvery), time.NewTicker(pruneEvery), time.NewTicker(countEvery)
	defer minute.Stop()
	defer every.Stop()
	defer prune.Stop()
	for _, run := range []func(){
		func() { f.sender.Run(beside) },
		func() { f.Prune(beside, prune.C) },
		func() { f.ring.Watch(beside, every.C) },
		func() { f.ring.Watch(beside, reload) },
		func() { f.count(beside, minute.C) },
	} {
		work.Go(run)
	}
	if f.files != nil {
		again := time.NewTicker(reloadEvery)
		defer again.Stop()
		work.Go(func() { f.files.Watch(beside, again.C, f.log) })
	}
	failed := make(chan error, 1)
	go func() {
		if f.src == nil {
			failed <- srv.Serve(ln)
			return
		}
		var ids []spiffeid.ID
		for _, op := range f.ring.operators() {
			ids = append(ids, op.id)
		}
		srv.TLSConfig = spiffe.ServerTLS(f.src, ids...)
		failed <- srv.ServeTLS(ln, "", "")
	}()
	f.log.Info("webhooks: serving", "listen", ln.Addr().String(), "operators", len(f.o.Operators), "mtls", f.src != nil)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = srv.Shutdown(context.Background()) // calls end by themselves, at their deadlines
	}
	f.Receiver.Close()
	done()
	work.Wait()
	f.tidy()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// count logs the counters, while messages come, at every tick until ctx ends.
func (f *Front) count(ctx context.Context, ticks <-chan time.Time) {
	for told := (Counters{}); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		n := f.Counters()
		if n == told {
			continue
		}
		told = n
		open, given, err := f.sender.Waiting()
		f.log.Info("webhooks: counts", "taken", n.Taken, "recorded", n.Recorded, "joined", n.Joined, "unsigned", n.Unsigned,
			"replayed", n.Replayed, "altered", n.Altered, "denied", n.Denied, "malformed", n.Malformed, "full", n.Full,
			"notices", open, "given_up", given, "err", err)
	}
}
