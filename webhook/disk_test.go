//go:build linux && cgo

package webhook

import (
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread"
	"oakthread/internal/fault/wallclock"
)

// An outcome whose write fails is retried until it is written, then its notification is delivered.
// Meanwhile the message is answered from memory.
func TestOutcomeIsRecordedAfterDiskRecovers(t *testing.T) {
	received := make(chan string, 4)
	operator := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- string(body)
	}))
	defer operator.Close()
	d := newTestFront(t, operator.URL)
	var disk *failingDisk
	d.core.answer = func(request oakthread.Request) (oakthread.Answer, error) {
		disk = d.failWrites(3, 0) // the receipt is written already
		return echo(request)
	}
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now, body), body).Code)
	w := d.deliver(signed(t, secret(1), "m", now.Add(time.Second), body), body)
	assert.Equal(t, 200, w.Code)
	assert.Equal(t, "x", w.Body.String())
	select {
	case text := <-received:
		assert.Contains(t, text, `"outcome":"served"`)
	case <-time.After(10 * time.Second):
		t.Error("the notification was not delivered")
	}
	assert.GreaterOrEqual(t, disk.failed, 3)
	d.stop()
	d.start()
	w = d.deliver(signed(t, secret(1), "m", now.Add(3*time.Second), body), body)
	assert.Equal(t, 200, w.Code, "after a restart")
	assert.Equal(t, "1", w.Header().Get("Oakthread-Recorded"))
	assert.Equal(t, map[string]int{"m": 1}, d.core.runs)
}

// A receipt that reached the file although its write was reported as failed belongs to an execution
// that never started: the message was rejected, and must be executed when it is delivered again.
func TestUnstartedExecutionRunsOnRedelivery(t *testing.T) {
	d := newTestFront(t, "")
	d.failWrites(0, 1)
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	assert.Equal(t, 503, d.deliver(signed(t, secret(1), "m", now, body), body).Code)
	assert.Empty(t, d.core.runs)
	w := d.deliver(signed(t, secret(1), "m", now.Add(time.Second), body), body)
	assert.Equal(t, 200, w.Code)
	assert.Empty(t, w.Header().Get("Oakthread-Recorded"))
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now.Add(2*time.Second), body), body).Code)
	assert.Equal(t, map[string]int{"m": 1}, d.core.runs)
}

// The same holds if the writes of several deliveries fail before one succeeds.
func TestSeveralUnstartedExecutionsRunOnceOnRedelivery(t *testing.T) {
	d := newTestFront(t, "")
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	for i, failures := range []struct{ before, after int }{{0, 1}, {1, 0}, {1, 0}} {
		d.failWrites(failures.before, failures.after)
		at := now.Add(time.Duration(i) * time.Second)
		assert.Equal(t, 503, d.deliver(signed(t, secret(1), "m", at, body), body).Code)
	}
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now.Add(3*time.Second), body), body).Code)
	assert.Equal(t, map[string]int{"m": 1}, d.core.runs)
}

// Steps of the wall clock, backward or forward, neither delay the retries of a notification nor
// make it abandoned early.
func TestNotificationRetriesSurviveClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Cleanup(func() { require.NoError(t, wallclock.Set(0)) })
			received := make(chan bool, 16)
			var mu sync.Mutex
			attempts := 0
			operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				attempts++
				if attempts < 3 {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				mu.Unlock()
				received <- true
			}))
			defer operator.Close()
			d := newTestFront(t, operator.URL)
			d.options.MaxTotalBackoff = duration{time.Minute}
			completion := oakthread.Completion{
				Request: oakthread.Request{ID: "c1", Class: 1, Tenant: 0, Key: testFunction},
				At:      time.Now(),
			}
			require.NoError(t, wallclock.Set(step)) // between the completion and the first delivery attempt
			d.notifier.HandleCompletion(completion)
			awaitAttempt := func() {
				select {
				case <-received:
				case <-time.After(5 * time.Second):
					t.Error("no delivery attempt within 5 s")
				}
			}
			awaitAttempt()
			awaitAttempt()
			require.NoError(t, wallclock.Set(-step))
			awaitAttempt()
			d.stop()
			d.start()
			queued, abandoned, err := d.notifier.Pending()
			require.NoError(t, err)
			assert.Equal(t, []int{0, 0}, []int{queued, abandoned}, "queued and abandoned")
		})
	}
}

// Notifications that were scheduled far ahead while the clock was wrong are due at once after a
// start.
func TestFarScheduledNotificationsAreResetOnStart(t *testing.T) {
	d := newTestFront(t, "http://127.0.0.1:1/")
	d.stop()
	store, err := OpenStore(d.options.State, d.options.MaxReceipts)
	require.NoError(t, err)
	far := time.Now().Add(time.Hour)
	require.NoError(t, store.db.Update(func(tx *bbolt.Tx) error {
		return schedule(tx, &notification{ID: "msg_1", Operator: "ironbridge", CreatedAt: time.Now()}, far)
	}))
	require.NoError(t, store.Close())
	store, err = OpenStore(d.options.State, d.options.MaxReceipts)
	require.NoError(t, err)
	require.NoError(t, store.resetFarSchedule(time.Now(), time.Minute))
	require.NoError(t, store.db.View(func(tx *bbolt.Tx) error {
		key, _ := tx.Bucket(outboxBucket).Cursor().First()
		due := time.Unix(0, int64(binary.BigEndian.Uint64(key)))
		assert.WithinDuration(t, time.Now(), due, time.Minute)
		return nil
	}))
	require.NoError(t, store.Close())
	d.start()
}
