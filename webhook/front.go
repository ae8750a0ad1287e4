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
	keyReloadInterval  = 2 * time.Second
	pruneInterval      = 10 * time.Minute
	counterLogInterval = time.Minute
	readHeaderTimeout  = 5 * time.Second
)

// MaxConns is how many connections of senders the front holds, and MaxOut of its own to operators' systems.
const (
	MaxConns = 256
	MaxOut   = maxDeliveries
)

// Front is the webhook front of a Core.
type Front struct {
	*Receiver
	keys           *KeySet
	store          *Store
	notifier       *Notifier
	options        *Options
	identities     spiffe.Source
	svidFiles      *spiffe.Files
	temporaryState string
	log            *slog.Logger
}

// Open sets the front up. src gives identities; nil: those of the operator's file, or none.
func Open(o *Options, core Doer, classes []Class, tenants []string, src spiffe.Source, log *slog.Logger) (f *Front, err error) {
	f = &Front{options: o, identities: src, log: log}
	if o.SPIFFE.SVID != "" && src == nil {
		if f.svidFiles, err = spiffe.NewFiles(o.SPIFFE.SVID, o.SPIFFE.Key, o.SPIFFE.Bundle); err != nil {
			return nil, err
		}
		f.identities = f.svidFiles
	}
	if f.keys, err = NewKeySet(o.Operators, log); err != nil {
		return nil, fmt.Errorf("webhooks: %w", err)
	}
	for _, op := range f.keys.operators() {
		if (f.identities != nil) == op.id.IsZero() {
			return nil, fmt.Errorf("webhooks: operator %s: spiffe_id and the spiffe section go together", op.Name)
		}
	}
	path := o.State
	if path == "" { // what is safe to repeat needs receipts for as long as the process lives
		tmp, err := os.CreateTemp("", "oakthread-*.db")
		if err != nil {
			return nil, fmt.Errorf("webhooks: %w", err)
		}
		path, f.temporaryState = tmp.Name(), tmp.Name()
		tmp.Close()
	}
	if f.store, err = OpenStore(path, o.Receipts); err != nil {
		f.release()
		return nil, fmt.Errorf("webhooks: %w", err)
	}
	f.notifier, err = NewNotifier(o, f.keys, f.store, classes, tenants, f.transport, log)
	if err == nil {
		f.Receiver, err = NewReceiver(core, o, f.keys, f.store, f.notifier, classes, tenants, log)
	}
	if err != nil {
		f.release()
		return nil, err
	}
	return f, nil
}

func (f *Front) release() {
	if f.store != nil {
		f.store.Close()
	}
	if f.temporaryState != "" {
		os.Remove(f.temporaryState)
	}
}

// transport leads to one operator's system: with identities to that operator's alone.
func (f *Front) transport(op Operator) http.RoundTripper {
	t := &http.Transport{Proxy: nil, MaxConnsPerHost: maxDeliveriesPerOperator, IdleConnTimeout: time.Minute}
	if f.identities != nil {
		t.TLSClientConfig = spiffe.ClientTLS(f.identities, op.id)
	}
	return t
}

// Settled takes a settlement from the Core. It returns at once.
func (f *Front) Settled(s oakthread.Completion) { f.notifier.Settled(s) }

// Serve takes messages on ln and delivers notices until ctx ends; then it answers what it has taken and closes the
// state file. reload asks for the keys to be read again at once.
func (f *Front) Serve(ctx context.Context, ln net.Listener, reload <-chan time.Time) error {
	srv := &http.Server{Handler: f.Receiver, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelWarn)}
	ln = netutil.LimitListener(neterr.NewListener(ln, f.log), MaxConns)
	beside, done := context.WithCancel(context.Background())
	var work sync.WaitGroup
	every, prune, minute := time.NewTicker(keyReloadInterval), time.NewTicker(pruneInterval), time.NewTicker(counterLogInterval)
	defer minute.Stop()
	defer every.Stop()
	defer prune.Stop()
	for _, run := range []func(){
		func() { f.notifier.Run(beside) },
		func() { f.Prune(beside, prune.C) },
		func() { f.keys.Watch(beside, every.C) },
		func() { f.keys.Watch(beside, reload) },
		func() { f.logCounters(beside, minute.C) },
	} {
		work.Go(run)
	}
	if f.svidFiles != nil {
		again := time.NewTicker(keyReloadInterval)
		defer again.Stop()
		work.Go(func() { f.svidFiles.Watch(beside, again.C, f.log) })
	}
	failed := make(chan error, 1)
	go func() {
		if f.identities == nil {
			failed <- srv.Serve(ln)
			return
		}
		var ids []spiffeid.ID
		for _, op := range f.keys.operators() {
			ids = append(ids, op.id)
		}
		srv.TLSConfig = spiffe.ServerTLS(f.identities, ids...)
		failed <- srv.ServeTLS(ln, "", "")
	}()
	f.log.Info("webhooks: serving", "listen", ln.Addr().String(), "operators", len(f.options.Operators), "mtls", f.identities != nil)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = srv.Shutdown(context.Background()) // calls end by themselves, at their deadlines
	}
	f.Receiver.Close()
	done()
	work.Wait()
	f.release()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// logCounters logs the counters, while messages come, at every tick until ctx ends.
func (f *Front) logCounters(ctx context.Context, ticks <-chan time.Time) {
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
		open, given, err := f.notifier.Pending()
		f.log.Info("webhooks: counts", "taken", n.Executed, "recorded", n.FromReceipt, "joined", n.Joined, "unsigned", n.Unauthenticated,
			"replayed", n.Replayed, "altered", n.BodyMismatch, "denied", n.Forbidden, "malformed", n.Malformed, "full", n.Unavailable,
			"notices", open, "given_up", given, "err", err)
	}
}
