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

// This file has the state file's disk fail and the wall clock step.

// An outcome that the disk does not take is owed: it is tried again until it is on record, its notice goes out, and meanwhile
// the message gets the outcome from memory.
func TestOutcomeIsOwedWhenTheDiskFails(t *testing.T) {
	noticed := make(chan string, 4)
	operator := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		noticed <- string(b)
	}))
	defer operator.Close()
	d := newDaemon(t, operator.URL)
	var disk *failingDisk
	d.core.answer = func(q oakthread.Request) (oakthread.Answer, error) {
		disk = d.fail(3, 0) // after the receipt
		return echo(q)
	}
	now, body := time.Now(), want("path-book", fn, "x")
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
	assert.Equal(t, map[string]int{"m": 1}, d.core.ran)
}

// A receipt whose write failed after it had reached the file is of a run that never began: the message was refused, and
// runs when it comes again.
func TestReceiptOfARunThatNeverBegan(t *testing.T) {
	d := newDaemon(t, "")
	d.fail(0, 1)
	now, body := time.Now(), want("path-book", fn, "x")
	assert.Equal(t, 503, d.deliver(signed(t, secret(1), "m", now, body), body).Code)
	assert.Empty(t, d.core.ran)
	w := d.deliver(signed(t, secret(1), "m", now.Add(time.Second), body), body)
	assert.Equal(t, 200, w.Code)
	assert.Empty(t, w.Header().Get("Oakthread-Recorded"))
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now.Add(2*time.Second), body), body).Code)
	assert.Equal(t, map[string]int{"m": 1}, d.core.ran)
}

// The same where further deliveries fail before one is taken: none of their receipts is of a run that began.
func TestReceiptsOfSeveralRunsThatNeverBegan(t *testing.T) {
	d := newDaemon(t, "")
	now, body := time.Now(), want("path-book", fn, "x")
	for i, failures := range []struct{ before, after int }{{0, 1}, {1, 0}, {1, 0}} {
		d.fail(failures.before, failures.after)
		at := now.Add(time.Duration(i) * time.Second)
		assert.Equal(t, 503, d.deliver(signed(t, secret(1), "m", at, body), body).Code)
	}
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now.Add(3*time.Second), body), body).Code)
	assert.Equal(t, map[string]int{"m": 1}, d.core.ran)
}

// A notice is tried again after its wait, and given up after its time, whatever steps the wall clock makes meanwhile.
func TestNoticesAcrossStepsOfTheClock(t *testing.T) {
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
			d := newDaemon(t, operator.URL)
			d.o.GiveUp = span{time.Minute}
			settled := oakthread.Completion{Request: oakthread.Request{ID: "c1", Class: 1, Tenant: 0, Key: fn}, At: time.Now()}
			require.NoError(t, wallclock.Set(by)) // between the call and its notice's first try
			d.sender.Settled(settled)
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
			open, given, err := d.sender.Waiting()
			require.NoError(t, err)
			assert.Equal(t, []int{0, 0}, []int{open, given}, "waiting and given up")
		})
	}
}

// Notices that are due far ahead, by a clock that stood wrong when they were put off, are due at once after a start.
func TestNoticesDueFarAheadAreDue(t *testing.T) {
	d := newDaemon(t, "http://127.0.0.1:1/")
	d.stop()
	store, err := OpenStore(d.o.State, d.o.Receipts)
	require.NoError(t, err)
	far := time.Now().Add(time.Hour)
	require.NoError(t, store.db.Update(func(tx *bbolt.Tx) error {
		return schedule(tx, &notice{ID: "msg_1", Operator: "ironbridge", Made: time.Now()}, far)
	}))
	require.NoError(t, store.Close())
	store, err = OpenStore(d.o.State, d.o.Receipts)
	require.NoError(t, err)
	require.NoError(t, store.soon(time.Now(), time.Minute))
	require.NoError(t, store.db.View(func(tx *bbolt.Tx) error {
		key, _ := tx.Bucket(outbox).Cursor().First()
		due := time.Unix(0, int64(binary.BigEndian.Uint64(key)))
		assert.WithinDuration(t, time.Now(), due, time.Minute)
		return nil
	}))
	require.NoError(t, store.Close())
	d.start()
}
