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
	"oakthread/internal/neterr"
	"oakthread/spiffe"
)

const (
	keyReloadInterval  = 2 * time.Second // keys and SVIDs are in force this long after their files change, at most
	pruneInterval      = 10 * time.Minute
	counterLogInterval = time.Minute
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = time.Minute
	maxHeaderBytes     = 16 << 10
)

// MaxConns is the number of senders' connections that the front holds, and MaxOut of its own
// connections to operators' endpoints. Both count against the process's limit of open files.
const (
	MaxConns         = 256
	MaxDeliveryConns = maxDeliveries
)

// Front is the webhook front of a core: a Receiver with its server, and a Notifier.
type Front struct {
	*Receiver
	options        *Options
	keys           *KeySet
	store          *Store
	notifier       *Notifier
	identities     spiffe.Source // nil: no mTLS
	svidFiles      *spiffe.Files // identities from files; nil: given to Open, or none
	temporaryState string        // path of a state file to remove at the end; empty: none
	log            *slog.Logger
}

// Open returns a Front on the state file of options. identities gives the identities for mTLS; if
// it is nil they are read from the files that options name, if any.
func Open(
	options *Options, core Doer, classes []Class, tenants []string, identities spiffe.Source, log *slog.Logger,
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
		classes: classes, tenants: tenants, transport: f.transport, log: log,
	})
	if err == nil {
		f.Receiver, err = newReceiver(receiverConfig{
			options: options, core: core, keys: f.keys, store: f.store, notifier: f.notifier,
			classes: classes, tenants: tenants, log: log,
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
			return fmt.Errorf("webhooks: operator %s: spiffe_id and the spiffe section go together", operator.Name)
		}
	}
	return nil
}

// openStore opens the state file. Without a configured path it is a temporary one, because
// idempotent calls too need receipts as long as the process runs.
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

// release closes the state file, and removes it if it is a temporary one.
func (f *Front) release() {
	if f.store != nil {
		_ = f.store.Close()
	}
	if f.temporaryState != "" {
		os.Remove(f.temporaryState)
	}
}

// transport returns the transport to an operator's endpoint. With identities it connects to that
// operator alone.
func (f *Front) transport(operator Operator) http.RoundTripper {
	t := &http.Transport{Proxy: nil, MaxConnsPerHost: maxDeliveriesPerOperator, IdleConnTimeout: idleTimeout}
	if f.identities != nil {
		t.TLSClientConfig = spiffe.ClientTLS(f.identities, operator.id)
	}
	return t
}

// HandleCompletion takes a completion from the core. It does not block.
func (f *Front) HandleCompletion(completion oakthread.Completion) {
	f.notifier.HandleCompletion(completion)
}

// Serve receives messages on ln and delivers notifications until ctx is done. Then it stops to
// accept messages, answers those that it has accepted and closes the state file. A value on reload
// has the keys read again at once.
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
	go func() { served <- f.serve(server, ln) }() // ends by Shutdown or by itself
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

// startBackground starts the notifier and the periodic tasks. The function that it returns stops
// them and waits for their end.
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
