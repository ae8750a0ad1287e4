package webhook

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
	"oakthread/classes"
	"oakthread/internal/neterr"
	"oakthread/spiffe"
)

const (
	keyReloadInterval  = 2 * time.Second // longest delay until changed key and SVID files are read
	pruneInterval      = 10 * time.Minute
	counterLogInterval = time.Minute
	spoolInterval      = 5 * time.Second // longest delay of notifications that a killed process left
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = time.Minute
	maxHeaderBytes     = 16 << 10
)

// MaxConns is the maximum number of inbound connections from senders. MaxDeliveryConns is the
// maximum number of deliveries, each over an outbound connection to an operator's endpoint, that
// are in progress at a time. Both count against the process's limit of open files.
const (
	MaxConns         = 256
	MaxDeliveryConns = maxDeliveries
)

// Front is the webhook frontend of a core: a Receiver with its HTTP server, and a Notifier.
type Front struct {
	*Receiver
	options        *Options
	keys           *KeySet
	store          *Store
	notifier       *Notifier
	identities     spiffe.Source // nil: no mTLS
	svidFiles      *spiffe.Files // identities from files; nil: given to Open, or none
	temporaryState string        // path of a temporary state file to remove on release; empty: none
	takeover       *takeover
	taking         sync.WaitGroup // the goroutine that takes the state file over
	log            *slog.Logger
}

// Open returns a Front that uses the state file named in options. identities supplies the SVID and
// trust bundles for mTLS; if it is nil they are read from the files named in options, and without
// such files the front serves without TLS. The core must have every class that source hands out. It
// returns an error if options do not fit the classes in force and tenants, or if the keys, the SVID
// files or the state file cannot be read.
func Open(
	options *Options, core Doer, source *classes.Source, tenants []string, identities spiffe.Source, log *slog.Logger,
) (*Front, error) {
	f := &Front{options: options, identities: identities, log: log}
	if err := f.openIdentities(); err != nil {
		return nil, err
	}
	if err := f.openStore(); err != nil {
		return nil, err
	}
	var err error
	f.notifier, err = newNotifier(notifierConfig{
		options: options, keys: f.keys, store: f.store,
		classes: source, tenants: tenants, transport: f.transport, log: log,
	})
	if err == nil {
		f.Receiver, err = newReceiver(receiverConfig{
			options: options, core: core, keys: f.keys, store: f.store, state: f.takeover, notifier: f.notifier,
			classes: source, tenants: tenants, log: log,
		})
	}
	if err != nil {
		f.release()
		return nil, err
	}
	return f, nil
}

// openIdentities reads the SVID files and the operators' keys. With identities every operator must
// have a SPIFFE ID, and without them none may have one.
func (f *Front) openIdentities() (err error) {
	if files := f.options.SPIFFE; files.SVID != "" && f.identities == nil {
		if f.svidFiles, err = spiffe.NewFiles(files.SVID, files.Key, files.Bundle); err != nil {
			return err
		}
		f.identities = f.svidFiles
	}
	if f.keys, err = NewKeySet(f.options.Operators, f.log); err != nil {
		return fmt.Errorf("webhooks: %w", err)
	}
	for _, operator := range f.keys.operators() {
		if (f.identities != nil) == operator.id.IsZero() {
			return fmt.Errorf("webhooks: operator %s: spiffe_id and the spiffe section must be set together",
				operator.Name)
		}
	}
	return nil
}

// openStore opens the state file. Without a configured path it creates a temporary one, because
// idempotent calls need receipts too, for as long as the process runs.
func (f *Front) openStore() (err error) {
	if f.options.State != "" {
		err = f.openOwnState(f.options.State)
	} else {
		err = f.openTemporaryState()
	}
	if err != nil {
		f.release()
		return fmt.Errorf("webhooks: %w", err)
	}
	return nil
}

// openTemporaryState opens a state file that only this process uses.
func (f *Front) openTemporaryState() error {
	file, err := os.CreateTemp("", "oakthread-*.db")
	if err != nil {
		return err
	}
	f.temporaryState = file.Name()
	file.Close()
	f.takeover = ownedState()
	f.store, err = OpenStore(f.temporaryState, f.options.MaxReceipts)
	return err
}

// release closes the state file, and removes it if it is temporary. Another process may have it then.
func (f *Front) release() {
	if f.takeover != nil {
		f.takeover.turn.Release()
	}
	if f.store != nil {
		if err := f.store.Close(); err != nil {
			f.log.Error("webhooks: state file not closed", "error", err)
		}
	}
	if f.temporaryState != "" {
		os.Remove(f.temporaryState)
	}
}

// Discard releases the files of a front whose Serve is not called.
func (f *Front) Discard() { f.release() }

// transport returns the transport to an operator's endpoint. With identities it uses
// mTLS and connects only to a peer with that operator's SPIFFE ID.
func (f *Front) transport(operator Operator) http.RoundTripper {
	t := &http.Transport{Proxy: nil, MaxConnsPerHost: maxDeliveriesPerOperator, IdleConnTimeout: idleTimeout}
	if f.identities != nil {
		t.TLSClientConfig = spiffe.ClientTLS(f.identities, operator.id)
	}
	return t
}

// HandleCompletion queues the notification of a completion that the core reports, if one is
// configured. It does not block.
func (f *Front) HandleCompletion(completion oakthread.Completion) {
	f.notifier.HandleCompletion(completion)
}

// Drain describes how Serve ends.
type Drain struct {
	// Linger is how long messages are accepted after the shutdown began, since senders and a process
	// that takes over learn of it with a delay.
	Linger time.Duration
	// Completed is closed once HandleCompletion is not called any more. Until then the state file
	// stays open. nil: Serve does not wait.
	Completed <-chan struct{}
}

// Serve receives messages and delivers notifications until ctx is done. It calls listen for its
// listener once no other process accepts messages for the same state file, and admits messages once
// no other process has that file open. At the end it stops accepting messages, answers those that it
// has accepted, and closes the state file after the last notification is written. A value on reload
// makes it reload the keys immediately. It returns nil after such a shutdown. An error that ends the
// server before is logged at once, while notifications go on; it is returned after ctx is done.
func (f *Front) Serve(
	ctx context.Context, listen func() (net.Listener, error), reload <-chan time.Time, drain Drain,
) error {
	stopBackground := f.startBackground(reload)
	err := f.serveMessages(ctx, listen, drain.Linger)
	if err != nil {
		f.log.Error("webhooks: front ended", "error", err)
		f.takeover.turn.Release()
		<-ctx.Done()
	}
	f.Close()
	if drain.Completed != nil {
		<-drain.Completed
	}
	stopBackground()
	f.taking.Wait() // ended with ctx
	f.release()
	return err
}

// serveMessages accepts messages until ctx is done and linger has passed, and answers them.
func (f *Front) serveMessages(
	ctx context.Context, listen func() (net.Listener, error), linger time.Duration,
) error {
	ln, err := f.listenInTurn(ctx, listen)
	if ln == nil {
		return err
	}
	var open sync.WaitGroup // connections
	server := &http.Server{
		Handler:           f.Receiver,
		ConnState:         countConns(&open),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	listener := neterr.NewListener(ln, f.log)
	served := make(chan error, 1)
	go func() { served <- f.serve(server, netutil.LimitListener(listener, MaxConns)) }()
	f.log.Info("webhook front serving", "listen", ln.Addr().String(), "operators", len(f.options.Operators),
		"mtls", f.identities != nil)
	handOver := f.handOverTurn(ctx, linger)
	select {
	case err = <-served:
		return err
	case <-handOver:
	}
	if err := listener.StopAccepting(); err != nil {
		return fmt.Errorf("stop accepting connections: %w", err)
	}
	// Closes idle connections, and each other one after its answer. http.Server.Shutdown would close
	// those that were accepted a moment before.
	server.SetKeepAlivesEnabled(false)
	if err := <-served; !errors.Is(err, neterr.ErrAcceptStopped) {
		return err
	}
	open.Wait() // calls end at their deadlines
	return nil
}

// countConns returns a ConnState hook of a server that counts its connections in open.
func countConns(open *sync.WaitGroup) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Done()
		case http.StateActive, http.StateIdle:
		}
	}
}

// handOverTurn gives up the turn once ctx is done and linger is nearly over. It closes the returned
// channel when linger is over.
func (f *Front) handOverTurn(ctx context.Context, linger time.Duration) <-chan struct{} {
	over := make(chan struct{})
	context.AfterFunc(ctx, func() {
		time.Sleep(max(0, linger-turnOverlap))
		f.takeover.turn.Release()
		time.Sleep(min(linger, turnOverlap))
		close(over)
	})
	return over
}

// serve accepts connections until the server is shut down, under mTLS if there are identities.
func (f *Front) serve(server *http.Server, ln net.Listener) error {
	if f.identities == nil {
		return server.Serve(ln)
	}
	var ids []spiffeid.ID
	for _, operator := range f.keys.operators() {
		ids = append(ids, operator.id)
	}
	server.TLSConfig = spiffe.ServerTLS(f.identities, ids...)
	return server.ServeTLS(ln, "", "")
}

// startBackground starts the notifier and the periodic tasks. The returned function stops them and
// waits until they have ended.
func (f *Front) startBackground(reload <-chan time.Time) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.notifier.Run(ctx) })
	tasks.Go(func() { f.keys.Watch(ctx, reload) })
	periodic := func(interval time.Duration, run func(context.Context, <-chan time.Time)) {
		ticker := time.NewTicker(interval)
		tasks.Go(func() {
			defer ticker.Stop()
			run(ctx, ticker.C)
		})
	}
	periodic(keyReloadInterval, f.keys.Watch)
	periodic(pruneInterval, f.Prune)
	periodic(counterLogInterval, f.logCounters)
	periodic(spoolInterval, f.recoverSpools)
	if f.svidFiles != nil {
		periodic(keyReloadInterval, func(ctx context.Context, ticks <-chan time.Time) {
			f.svidFiles.Watch(ctx, ticks, f.log)
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// logCounters logs the counters at every tick until ctx is done, if they have changed since they
// were logged last.
func (f *Front) logCounters(ctx context.Context, ticks <-chan time.Time) {
	var logged Counters
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		n := f.Counters()
		if n == logged {
			continue
		}
		logged = n
		queued, abandoned, err := f.notifier.Pending()
		f.log.Info("webhook counters",
			"executed", n.Executed, "from_receipt", n.FromReceipt, "joined", n.Joined,
			"unauthenticated", n.Unauthenticated, "replayed", n.Replayed, "body_mismatch", n.BodyMismatch,
			"forbidden", n.Forbidden, "malformed", n.Malformed, "unavailable", n.Unavailable,
			"notifications_queued", queued, "notifications_abandoned", abandoned, "error", err)
	}
}
