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
			options: options, core: core, keys: f.keys, store: f.store, notifier: f.notifier,
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
func (f *Front) openStore() error {
	path := f.options.State
	if path == "" {
		file, err := os.CreateTemp("", "oakthread-*.db")
		if err != nil {
			return fmt.Errorf("webhooks: %w", err)
		}
		path, f.temporaryState = file.Name(), file.Name()
		file.Close()
	}
	var err error
	if f.store, err = OpenStore(path, f.options.MaxReceipts); err != nil {
		f.release()
		return fmt.Errorf("webhooks: %w", err)
	}
	return nil
}

// release closes the state file, and removes it if it is temporary.
func (f *Front) release() {
	if f.store != nil {
		_ = f.store.Close()
	}
	if f.temporaryState != "" {
		os.Remove(f.temporaryState)
	}
}

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

// Serve receives messages on ln and delivers notifications until ctx is done. Then it stops
// accepting messages, answers those that it has accepted and closes the state file. A value on
// reload makes it reload the keys immediately. It returns nil after such a shutdown, and otherwise
// the error that ended the server.
func (f *Front) Serve(ctx context.Context, ln net.Listener, reload <-chan time.Time) error {
	server := &http.Server{
		Handler:           f.Receiver,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	ln = netutil.LimitListener(neterr.NewListener(ln, f.log), MaxConns)
	stopBackground := f.startBackground(reload)
	served := make(chan error, 1)
	go func() { served <- f.serve(server, ln) }() // returns after Shutdown, or when accepting fails
	f.log.Info("webhook front serving", "listen", ln.Addr().String(), "operators", len(f.options.Operators),
		"mtls", f.identities != nil)
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		err = server.Shutdown(context.Background()) // waits for calls, which end at their deadlines
		<-served
	}
	f.Close()
	stopBackground()
	f.release()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
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
