package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bookings is the number of different bookings that the webhook test sends.
const bookings = 20

// bookingWorker books the slot that the body of a call names, and counts the bookings of each slot.
type bookingWorker struct {
	mu     sync.Mutex
	booked map[string]int
}

func (b *bookingWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	slot, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.booked[string(slot)]++
	fmt.Fprintf(w, "booked %s", slot)
}

// notificationReceiver receives the notifications of outcomes. It closes the channel all once it
// has been notified of every booking as served.
type notificationReceiver struct {
	all chan struct{}

	mu       sync.Mutex
	notified map[string]bool // by id
}

func (n *notificationReceiver) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Webhook-Id")
	n.mu.Lock()
	defer n.mu.Unlock()
	if !strings.Contains(string(body), `"outcome":"served"`) || n.notified[id] {
		return
	}
	n.notified[id] = true
	if len(n.notified) == bookings {
		close(n.all)
	}
}

// webhookKey returns the n-th signing key of the test.
func webhookKey(n byte) string {
	return "whsec_" + base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{n}, 24))
}

// message is a webhook message. It is signed for signedBody, which may differ from body.
type message struct {
	key, id          string
	at               time.Time
	body, signedBody string
}

// sendMessage sends a webhook message and returns the status and the body of the response.
func sendMessage(t *testing.T, addr string, m message) (status int, body string) {
	t.Helper()
	webhook, err := standardwebhooks.NewWebhook(m.key)
	require.NoError(t, err)
	signature, err := webhook.Sign(m.id, m.at, []byte(m.signedBody))
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/", strings.NewReader(m.body))
	require.NoError(t, err)
	req.Header = http.Header{
		"Webhook-Id":        {m.id},
		"Webhook-Timestamp": {fmt.Sprint(m.at.Unix())},
		"Webhook-Signature": {signature},
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}

// A sender sends, repeats, alters and replays booking messages while its key is rotated and the
// daemon restarts. The webhook options are first in a file of their own, then in the operator's
// file. Each booking runs once, and a notification is sent for each.
func TestWebhooksThroughTheDaemon(t *testing.T) {
	t.Parallel()
	worker := &bookingWorker{booked: map[string]int{}}
	receiver := &notificationReceiver{all: make(chan struct{}), notified: map[string]bool{}}
	workerAddr, receiverAddr := startWorker(t, worker.ServeHTTP), startWorker(t, receiver.ServeHTTP)
	folder, addr, webhookAddr := t.TempDir(), unusedAddr(t), unusedAddr(t)
	write := func(name, text string) (path string) {
		path = filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	oldKey, newKey := webhookKey(1), webhookKey(2)
	write("keys", oldKey)
	options := fmt.Sprintf("listen=%q\nstate='state.db'\nnotify=['path-book']\n"+
		"[[operator]]\nname='a'\ntenant='a'\nkeys_file='keys'\nnotify=%q\n", webhookAddr, "http://"+receiverAddr)
	webhookFile := write("webhooks.toml", options)
	operatorFile := write("oakthread.toml",
		"[webhooks]\n"+strings.Replace(options, "[[operator]]", "[[webhooks.operator]]", 1))
	bookingSettings := strings.NewReplacer(
		`"path-check"`, `"path-book"`,
		"read_like", "non_idempotent",
		`"quantum_ns"`, `"customers":[{"name":"a","allowance_per_s":25}],"quantum_ns"`,
	).Replace(settings)
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"known":{"cursor":1,"cmds":[%s]},"settings":%s}`,
		addr, endpointList(workerAddr), bookingSettings)
	start := func(args ...string) daemon {
		program := startDaemon(t, config, args...)
		program.log.await("serving") // once for the webhook server and once for the platform's
		program.log.await("serving")
		return program
	}

	program := start("-webhooks", webhookFile)
	statuses, at, key := map[int]int{}, time.Now(), oldKey
	for i := range bookings {
		switch i {
		case bookings / 4: // the daemon picks up the new key without a signal; until then it answers 401
			write("keys", newKey+"\n"+oldKey)
			probe := `{"type":"none"}`
			for status := http.StatusUnauthorized; status == http.StatusUnauthorized; {
				status, _ = sendMessage(t, webhookAddr, message{newKey, "probe", time.Now(), probe, probe})
			}
			key = newKey
		case bookings / 2:
			program.stop()
			program = start("serve", "--config", operatorFile)
		}
		id, slot := fmt.Sprint("m", i), fmt.Sprint("slot ", i)
		body := fmt.Sprintf(`{"type":"path-book.requested","data":{"function":%q,"body":%q}}`,
			function, base64.StdEncoding.EncodeToString([]byte(slot)))
		for _, sent := range []message{
			{key, id, at, body, body},                  // a booking
			{key, id, at, body, body},                  // repeated
			{key, id, at, body + " ", body},            // altered: the signature does not match
			{key, id, at.Add(time.Second), body, body}, // replayed with another timestamp
		} {
			status, answer := sendMessage(t, webhookAddr, sent)
			statuses[status]++
			if status == http.StatusOK {
				assert.Equal(t, "booked "+slot, answer)
			}
		}
	}
	assert.Equal(t, map[int]int{200: 2 * bookings, 409: bookings, 401: bookings}, statuses)
	<-receiver.all
	program.stop()
	assert.Len(t, worker.booked, bookings)
	for slot, n := range worker.booked {
		assert.Equal(t, 1, n, slot)
	}
	assert.Len(t, receiver.notified, bookings)
}
