package webhook

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
)

const testFunction = "7f3a9c21e0b4d655"

var (
	discardLog = slog.New(slog.DiscardHandler)
	// definitions are those of the classes in force, unless a test replaces them.
	definitions = []classes.Definition{
		{Name: "path-check", Rules: classRules(balancer.Idempotent)},
		{Name: "path-book", Rules: classRules(balancer.NotIdempotent)},
	}
	tenants = []string{"ironbridge-haul", "soar-freight"}
)

// secret returns the signing secret with number n.
func secret(n byte) string {
	return "whsec_" + base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{n}, 24))
}

// classRules returns the rules of a class whose calls get a second.
func classRules(idempotency balancer.Idempotency) balancer.Class {
	return balancer.Class{ClientTimeout: int64(time.Second), Idempotency: idempotency}
}

// classSource returns a source of definitions.
func classSource() *classes.Source { return classes.NewSource(classes.New(definitions)) }

// fakeCore is a Doer that counts executions and takes its answers from a function.
type fakeCore struct {
	mu     sync.Mutex
	runs   map[string]int // by message id
	answer func(request oakthread.Request) (oakthread.Answer, error)
}

func newFakeCore() *fakeCore { return &fakeCore{runs: map[string]int{}, answer: echo} }

func (c *fakeCore) Do(_ context.Context, request oakthread.Request) (oakthread.Answer, error) {
	c.mu.Lock()
	c.runs[request.Ref]++
	c.mu.Unlock()
	return c.answer(request)
}

// echo answers a call with its own body.
func echo(request oakthread.Request) (oakthread.Answer, error) {
	return oakthread.Answer{Outcome: oakthread.Served, Body: request.Body}, nil
}

// testFront is a webhook front with its files but without a listener. It can be stopped and started
// again.
type testFront struct {
	t        *testing.T
	dir      string
	options  *Options
	core     *fakeCore
	classes  *classes.Source
	keys     *KeySet
	store    *Store
	disk     *failingDisk
	notifier *Notifier
	receiver *Receiver
	stop     func()
}

// newTestFront starts a front with two operators. Notifications to the first are sent to notifyURL.
func newTestFront(t *testing.T, notifyURL string) *testFront {
	t.Helper()
	d := &testFront{t: t, dir: t.TempDir(), core: newFakeCore(), classes: classSource()}
	d.writeKeys("ironbridge", secret(1))
	d.writeKeys("soar", secret(2))
	keysFile := func(operator string) string { return filepath.Join(d.dir, operator) }
	d.options = &Options{
		State:           filepath.Join(d.dir, "state.db"),
		NotifiedClasses: []string{"path-book"},
		InitialBackoff:  duration{time.Millisecond},
		MaxBackoff:      duration{5 * time.Millisecond},
		Operators: []Operator{
			{Name: "ironbridge", Tenant: tenants[0], KeysFile: keysFile("ironbridge"), NotifyURL: notifyURL},
			{Name: "soar", Tenant: tenants[1], KeysFile: keysFile("soar")},
		},
	}
	require.NoError(t, d.options.applyDefaults())
	d.start()
	t.Cleanup(func() { d.stop() })
	return d
}

// writeKeys replaces the keys of an operator.
func (d *testFront) writeKeys(operator string, secrets ...string) {
	d.t.Helper()
	text := strings.Join(secrets, "\n")
	require.NoError(d.t, os.WriteFile(filepath.Join(d.dir, operator), []byte(text), 0o600))
}

// start opens the state file and starts the notifier; stop ends both.
func (d *testFront) start() {
	d.t.Helper()
	var err error
	d.keys, err = NewKeySet(d.options.Operators, discardLog)
	require.NoError(d.t, err)
	d.store, err = OpenStore(d.options.State, d.options.MaxReceipts)
	require.NoError(d.t, err)
	d.disk = &failingDisk{DB: d.store.db.(*bbolt.DB)}
	d.store.db = d.disk
	d.notifier, err = newNotifier(notifierConfig{
		options: d.options, keys: d.keys, store: d.store, classes: d.classes, tenants: tenants, log: discardLog,
	})
	require.NoError(d.t, err)
	d.receiver, err = newReceiver(receiverConfig{
		options: d.options, core: d.core, keys: d.keys, store: d.store, state: ownedState(), notifier: d.notifier,
		classes: d.classes, tenants: tenants, log: discardLog,
	})
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.notifier.Run(ctx) })
	d.stop = func() {
		d.receiver.Close()
		cancel()
		running.Wait()
		require.NoError(d.t, d.store.Close())
	}
}

// deliver passes a message to the receiver and returns the response.
func (d *testFront) deliver(header http.Header, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/webhooks", bytes.NewReader(body))
	request.Header = header.Clone()
	recorder := httptest.NewRecorder()
	d.receiver.ServeHTTP(recorder, request)
	return recorder
}

// requestBody returns a message that requests a call.
func requestBody(class, function, body string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"type": class + ".requested",
		"data": callData{Function: function, Body: []byte(body), Concurrency: 2},
	})
	return raw
}

// signed returns the headers of a message that is signed with secret.
func signed(t *testing.T, secret, id string, timestamp time.Time, body []byte) http.Header {
	t.Helper()
	key, err := standardwebhooks.NewWebhook(secret)
	require.NoError(t, err)
	signature, err := key.Sign(id, timestamp, body)
	require.NoError(t, err)
	return http.Header{
		"Webhook-Id":        {id},
		"Webhook-Timestamp": {fmt.Sprint(timestamp.Unix())},
		"Webhook-Signature": {signature},
	}
}
