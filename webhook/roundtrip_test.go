package webhook

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
)

// notificationEndpoint is the HTTP endpoint of an operator. It rejects the first two delivery
// attempts of each notification.
type notificationEndpoint struct {
	expected int           // notifications
	complete chan struct{} // closed when all expected notifications were accepted

	mu       sync.Mutex
	accepted map[string]string // by notification id: message id and outcome
	attempts map[string]int    // by notification id
	forged   int               // notifications with an invalid signature
}

func newNotificationEndpoint(expected int) *notificationEndpoint {
	return &notificationEndpoint{
		expected: expected, complete: make(chan struct{}), accepted: map[string]string{}, attempts: map[string]int{},
	}
}

func (e *notificationEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !signedByAny(r.Header, body, secret(1), secret(3)) { // during a rotation the operator knows both keys
		e.forged++
	}
	id := r.Header.Get("Webhook-Id")
	e.attempts[id]++
	if e.attempts[id] < 3 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	var n struct {
		Data completionData `json:"data"`
	}
	_ = json.Unmarshal(body, &n)
	if e.accepted[id] != "" {
		return
	}
	e.accepted[id] = n.Data.MessageID + " " + n.Data.Outcome
	if len(e.accepted) == e.expected {
		close(e.complete)
	}
}

// signedByAny reports whether a message is signed with one of the secrets.
func signedByAny(header http.Header, body []byte, secrets ...string) bool {
	for _, secret := range secrets {
		key, _ := standardwebhooks.NewWebhook(secret)
		if key.Verify(body, header) == nil {
			return true
		}
	}
	return false
}

// A sender redelivers, alters and replays its messages while the keys are rotated and the front is
// restarted. Each message is executed once, and all notifications of an outcome have the same id.
func TestEachMessageExecutesOnceAcrossKeyRotationAndRestart(t *testing.T) {
	const messages = 60
	endpoint := newNotificationEndpoint(messages)
	server := httptest.NewServer(endpoint)
	defer server.Close()
	d := newTestFront(t, server.URL)
	d.core.answer = func(request oakthread.Request) (oakthread.Answer, error) {
		if strings.HasSuffix(request.Ref, "7") {
			return oakthread.Answer{Outcome: oakthread.Failed}, nil
		}
		return echo(request)
	}
	key, codes, now := secret(1), map[int]int{}, time.Now()
	for i := range messages {
		switch i {
		case messages / 3: // the new key is added, the old one remains
			d.writeKeys("ironbridge", secret(3), secret(1))
		case messages / 2:
			d.stop()
			d.start()
		case messages * 2 / 3: // the old key is removed
			d.writeKeys("ironbridge", secret(3))
			key = secret(3)
		}
		_, err := d.keys.Reload()
		require.NoError(t, err)
		id, body := fmt.Sprint("m", i), requestBody("path-book", testFunction, fmt.Sprint(i))
		altered := bytes.Replace(body, []byte(testFunction), []byte(testFunction[1:]+"0"), 1)
		first := signed(t, key, id, now, body)
		codes[d.deliver(first, body).Code]++                                          // 200, or 502 for one in ten
		codes[d.deliver(first, body).Code]++                                          // replayed: 409
		codes[d.deliver(first, altered).Code]++                                       // altered: 401
		codes[d.deliver(signed(t, key, id, now.Add(time.Second), body), body).Code]++ // redelivered: as the first
		codes[d.deliver(signed(t, secret(9), id, now, body), body).Code]++            // unknown key: 401
	}
	body := requestBody("path-book", testFunction, "")
	assert.Equal(t, 401, d.deliver(signed(t, secret(1), "old", now, body), body).Code, "removed key")
	assert.Equal(t, map[int]int{200: 2 * (messages - 6), 502: 2 * 6, 409: messages, 401: 2 * messages}, codes)
	assert.Len(t, d.core.runs, messages)
	for id, n := range d.core.runs {
		assert.Equal(t, 1, n, id)
	}
	<-endpoint.complete
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	assert.Zero(t, endpoint.forged)
	outcomes := map[string]bool{}
	for id, outcome := range endpoint.accepted {
		outcomes[outcome] = true
		assert.Equal(t, 3, endpoint.attempts[id], "delivery attempts of %s", id)
	}
	for i := range messages {
		want := statusServed
		if strings.HasSuffix(fmt.Sprint(i), "7") {
			want = statusFailed
		}
		assert.True(t, outcomes[fmt.Sprintf("m%d %s", i, want)], i)
	}
}
