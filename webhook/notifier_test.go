package webhook

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
)

// Completions of calls that no webhook requested are notified too, those of classes and operators
// without notifications are not, and a notification that the operator answers with 410 is
// abandoned.
func TestCompletionsOfOtherFrontsAreNotified(t *testing.T) {
	received := make(chan string, 4)
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusGone)
		received <- string(body)
	}))
	defer receiver.Close()
	d := newTestFront(t, receiver.URL)
	complete := func(id string, class, tenant int) {
		d.notifier.HandleCompletion(oakthread.Completion{
			Request: oakthread.Request{ID: id, Class: class, Tenant: tenant, Key: testFunction},
			Answer:  oakthread.Answer{Outcome: oakthread.TimedOut},
			At:      time.Now(),
		})
	}
	complete("c1", 0, 0)  // a class without notifications
	complete("c2", 1, 1)  // an operator without notifications
	complete("c3", 1, -1) // no tenant
	complete("c4", 1, 0)
	assert.Contains(t, <-received, `"data":{"call_id":"c4","class":"path-book","function":"`+testFunction+
		`","outcome":"failed","reason":"out of time"}`)
	d.stop()
	assert.Empty(t, received)
	d.start()
	queued, abandoned, err := d.notifier.Pending()
	require.NoError(t, err)
	assert.Equal(t, []int{0, 1}, []int{queued, abandoned})
	for i := range 20 {
		wait := d.notifier.backoff(i + 1)
		assert.True(t, wait > 0 && wait <= d.options.MaxBackoff.Duration, wait)
	}
}
