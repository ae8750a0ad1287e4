//go:build linux && amd64 && cgo

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

// An outcome whose write fails is written again until that succeeds, then its notification is
// delivered. Meanwhile the message is answered from memory.
func TestOutcomeIsRecordedAfterDiskRecovers(t *testing.T) {
	noticed := make(chan string, 4)
	operator := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		noticed <- string(b)
	}))
	defer operator.Close()
	d := newTestFront(t, operator.URL)
	var disk *failingDisk
	d.core.answer = func(q oakthread.Request) (oakthread.Answer, error) {
		disk = d.failWrites(3, 0) // after the receipt
		return echo(q)
	}
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now, body), body).Code)
	w := d.deliver(signed(t, secret(1), "m", now.Add(time.Second), body), body)
	assert.Equal(t, 200, w.Code)
	assert.Equal(t, "x", w.Body.String())
	select {
	case text := <-noticed:
		assert.Contains(t, text, `"outcome":"served"`)
	case <-time.After(10 * time.Second):
		t.Error("the notice never came")
	}
	assert.GreaterOrEqual(t, disk.failed, 3)
	d.stop()
	d.start()
	w = d.deliver(signed(t, secret(1), "m", now.Add(3*time.Second), body), body)
	assert.Equal(t, 200, w.Code, "after a restart")
	assert.Equal(t, "1", w.Header().Get("Oakthread-Recorded"))
	assert.Equal(t, map[string]int{"m": 1}, d.core.runs)
}

// A receipt that reached the file although its write failed belongs to an execution that never
// started: the message was rejected, and is executed when it is delivered again.
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

// A notification is retried after its backoff and abandoned after its time, whatever steps the wall
// clock makes meanwhile.
func TestNotificationRetriesSurviveClockSteps(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			t.Cleanup(func() { require.NoError(t, wallclock.Set(0)) })
			came := make(chan bool, 16)
			var mu sync.Mutex
			tries := 0
			operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				tries++
				if tries < 3 {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				mu.Unlock()
				came <- true
			}))
			defer operator.Close()
			d := newTestFront(t, operator.URL)
			d.options.MaxTotalBackoff = duration{time.Minute}
			completion := oakthread.Completion{
				Request: oakthread.Request{ID: "c1", Class: 1, Tenant: 0, Key: testFunction},
				At:      time.Now(),
			}
			require.NoError(t, wallclock.Set(by)) // between the call and its notice's first try
			d.notifier.HandleCompletion(completion)
			tried := func() {
				select {
				case <-came:
				case <-time.After(5 * time.Second):
					t.Error("the notice was not tried again")
				}
			}
			tried()
			tried()
			require.NoError(t, wallclock.Set(-by))
			tried()
			d.stop()
			d.start()
			open, given, err := d.notifier.Pending()
			require.NoError(t, err)
			assert.Equal(t, []int{0, 0}, []int{open, given}, "waiting and given up")
		})
	}
}

// Notifications that a wrong clock has scheduled far ahead are due at once after a start.
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
