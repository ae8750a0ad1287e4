package webhook

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
	"oakthread/internal/monotime"
	"oakthread/internal/neterr"
)

const (
	maxMessageBytes  = 64 << 10        // a call's body has at most 16 KiB and grows by a third in base64
	maxCallBytes     = 16 << 10        // the platform's limit on the body of a call
	bodyReadTimeout  = 5 * time.Second // bounds how long a slow sender holds one of the front's connections
	messageLockCount = 64              // number of lock stripes
)

// Doer executes calls. The core implements it.
type Doer interface {
	Do(ctx context.Context, request oakthread.Request) (oakthread.Answer, error)
}

// Receiver executes the calls that signed messages request. It implements http.Handler and is safe
// for concurrent use.
//
// A message is executed once: its receipt is on disk before the execution starts, and later
// deliveries join the execution or are answered from the receipt.
type Receiver struct {
	core        Doer
	keys        *KeySet
	store       *Store
	notifier    *Notifier
	log         *slog.Logger
	classes     *classes.Source
	allowed     []string // names of the classes that webhooks may request; empty: all
	isStateless bool     // receipts do not outlast the process
	tenantIndex map[string]int
	retention   time.Duration // of a receipt
	bodyTimeout time.Duration

	state     *takeover // admits messages once the process has the state file
	executing *executions
	counters  receiverCounters
	logLimit  neterr.LogLimit

	ctx        context.Context // of executions; canceled after the last one has ended
	cancel     context.CancelFunc
	inProgress sync.WaitGroup
	closing    chan struct{} // closed by Close
	closeOnce  sync.Once
}

// receiverConfig holds the settings and dependencies of a Receiver.
type receiverConfig struct {
	options  *Options
	core     Doer
	keys     *KeySet
	store    *Store
	state    *takeover
	notifier *Notifier
	classes  *classes.Source
	tenants  []string
	log      *slog.Logger
}

// newReceiver returns a Receiver. Before that, it records the calls that an earlier process left
// running as failed. It returns an error for a class or tenant that is not configured, and for a
// class that is not idempotent without a state file.
func newReceiver(cfg receiverConfig) (*Receiver, error) {
	rc := &Receiver{
		core:        cfg.core,
		keys:        cfg.keys,
		store:       cfg.store,
		notifier:    cfg.notifier,
		log:         cfg.log,
		classes:     cfg.classes,
		allowed:     cfg.options.Classes,
		isStateless: cfg.options.State == "",
		tenantIndex: map[string]int{},
		retention:   cfg.options.ReceiptRetention.Duration,
		bodyTimeout: bodyReadTimeout,
		state:       cfg.state,
		executing:   newExecutions(),
		closing:     make(chan struct{}),
	}
	rc.ctx, rc.cancel = context.WithCancel(context.Background())
	for i, tenant := range cfg.tenants {
		rc.tenantIndex[tenant] = i
	}
	if err := rc.checkClasses(cfg.classes.Table()); err != nil {
		return nil, err
	}
	for _, operator := range cfg.options.Operators {
		if len(cfg.tenants) > 0 && !slices.Contains(cfg.tenants, operator.Tenant) {
			return nil, fmt.Errorf("webhooks: operator %s: tenant %q is not in the settings",
				operator.Name, operator.Tenant)
		}
	}
	if err := rc.failInterrupted(); err != nil {
		return nil, err
	}
	return rc, nil
}

// checkClasses returns an error if a class that the options name is not in the table, or if one that
// webhooks may request must not run twice and there is no state file.
func (rc *Receiver) checkClasses(table *classes.Table) error {
	for _, name := range rc.allowed {
		if _, ok := table.Lookup(name); !ok {
			return fmt.Errorf("webhooks: class %q is not in the settings", name)
		}
	}
	for _, class := range table.InForce() {
		if rc.isAllowed(class.Name) && !rc.mayRun(class) {
			return fmt.Errorf("webhooks: class %q must not run twice, so a state file is needed", class.Name)
		}
	}
	return nil
}

// isAllowed reports whether webhooks may request the class with a name.
func (rc *Receiver) isAllowed(name string) bool {
	return len(rc.allowed) == 0 || slices.Contains(rc.allowed, name)
}

// mayRun reports whether a restart cannot make a call of the class run twice: its receipts outlast
// the process, or it is idempotent.
func (rc *Receiver) mayRun(class classes.Class) bool {
	return !rc.isStateless || class.Rules.Idempotency == balancer.Idempotent
}

// failInterrupted records the executions that an earlier process left running as failed, and queues
// notifications of them.
func (rc *Receiver) failInterrupted() error {
	count, err := rc.store.failInterrupted(func(operator, id string, r receipt) *notification {
		return rc.notifier.newNotification(operator, completionData{
			CallID:    r.CallID,
			MessageID: id,
			Class:     r.Class,
			Function:  r.Function,
			Outcome:   statusFailed,
			Reason:    "cut off by a restart",
		}, time.Now())
	})
	if err != nil {
		return fmt.Errorf("webhooks: state file: %w", err)
	}
	if count > 0 {
		rc.log.Warn("interrupted webhook calls recorded as failed", "count", count)
	}
	return nil
}

// Counters returns the current counters.
func (rc *Receiver) Counters() Counters { return rc.counters.snapshot() }

// Close waits for the executions in progress, which end at their deadlines, and for their outcomes
// to be recorded.
func (rc *Receiver) Close() {
	rc.closeOnce.Do(func() { close(rc.closing) })
	rc.inProgress.Wait()
	rc.cancel()
}

// Prune deletes expired receipts and old abandoned notifications at every tick until ctx is done.
func (rc *Receiver) Prune(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		switch count, err := rc.store.prune(monotime.Now(), rc.retention); {
		case err != nil:
			rc.log.Error("webhook receipt pruning failed", "error", err)
		case count > 0:
			rc.log.Info("webhook receipts pruned", "count", count)
		}
	}
}
