package webhook

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread"
)

var updateGolden = flag.Bool("update", false, "write the text golden files, and the database where there is none")

const goldenState = "testdata/state.db"

// goldenTime returns the time that is n seconds after the base time of the golden file.
func goldenTime(n int) time.Time { return time.Unix(1_800_000_000+int64(n), 987_654_321).UTC() }

// notificationBody is the body of a notification as an operator receives it.
const notificationBody = `{"type":"path-book.settled","timestamp":"2027-01-15T08:00:01.987654321Z",` +
	`"data":{"call_id":"c1","message_id":"m-1","class":"path-book","function":"00000000000000ff","outcome":"failed",` +
	`"reason":"out of time"}}`

// storedReceipt is a receipt in the golden file, with the answer that it records.
type storedReceipt struct {
	operator, id string
	times        []int // of its deliveries
	r            receipt
	answer       oakthread.Answer
	notification *notification // written with the outcome; nil: none
}

func storedReceipts() []storedReceipt {
	newReceipt := func(n int, class, status string, body []byte, wait time.Duration) receipt {
		return receipt{
			BodyHash: []byte{byte(n), 0xfe}, CallID: fmt.Sprint("c", n), Class: class,
			Function: fmt.Sprintf("%016x", n), Status: status, Body: body, RetryAfter: wait,
			ExpiresAt: goldenTime(1000 * n),
		}
	}
	body := func(s string) []byte { return []byte(s) }
	enqueued := func(id, operator, text string, seconds int) *notification {
		return &notification{ID: id, Operator: operator, Body: body(text), CreatedAt: goldenTime(seconds)}
	}
	return []storedReceipt{
		{
			"ironbridge", "m-1",
			[]int{1},
			newReceipt(1, "path-book", statusRunning, nil, 0),
			oakthread.Answer{Outcome: oakthread.Failed},
			nil,
		},
		{
			"ironbridge", "m-2",
			[]int{2, 22, 222},
			newReceipt(2, "path-book", statusServed, body("a path\n\x00\xff"), 0),
			oakthread.Answer{Outcome: oakthread.Served, Body: body("a path\n\x00\xff")},
			enqueued("msg_c2", "ironbridge", notificationBody, 20),
		},
		{
			"ironbridge", "m-3",
			[]int{3},
			newReceipt(3, "path-check", statusRejected, body("full"), 1500*time.Millisecond),
			oakthread.Answer{Outcome: oakthread.Rejected, Body: body("full"), RetryAfter: 1500 * time.Millisecond},
			nil,
		},
		{
			"soar", "m-1",
			[]int{4},
			newReceipt(4, "path-check", statusFailed, body("broken"), 0),
			oakthread.Answer{Outcome: oakthread.Failed, Body: body("broken")},
			enqueued("msg_c4", "soar", `{"n":4}`, 40),
		},
		{
			"soar", "m-5",
			[]int{5},
			newReceipt(5, "path-book", statusTimedOut, body("late"), 2500*time.Millisecond),
			oakthread.Answer{Outcome: oakthread.TimedOut, Body: body("late"), RetryAfter: 2500 * time.Millisecond},
			enqueued("msg_c5", "soar", `{"n":5}`, 50),
		},
		{
			"soar", "m-6",
			[]int{6},
			newReceipt(6, "path-book", statusServed, nil, 0),
			oakthread.Answer{Outcome: oakthread.Served},
			nil,
		},
	}
}

// storedNotification is a notification in the golden file of a call that no webhook requested.
type storedNotification struct {
	n   notification
	due time.Time // zero: abandoned
}

func storedNotifications() []storedNotification {
	newNotification := func(n int, operator string, attempts int, totalBackoff time.Duration) notification {
		return notification{
			ID: fmt.Sprint("msg_d", n), Operator: operator, Body: fmt.Appendf(nil, `{"d":%d}`, n),
			CreatedAt: goldenTime(100 * n), Attempts: attempts, TotalBackoff: totalBackoff,
		}
	}
	return []storedNotification{
		{newNotification(1, "ironbridge", 0, 0), goldenTime(100)},
		{newNotification(2, "soar", 3, 35*time.Second), goldenTime(235)},
		{newNotification(3, "ironbridge", 17, 73*time.Hour), time.Time{}},
		{newNotification(4, "soar", 1, 0), time.Time{}},
	}
}

// writeState writes the receipts and notifications to a state file with the methods that the front
// uses.
func writeState(t *testing.T, path string) {
	t.Helper()
	s, err := OpenStore(path, 100)
	require.NoError(t, err)
	never := func(receipt) bool { return false }
	for _, x := range storedReceipts() {
		for i, sec := range x.times {
			fresh := receipt{
				BodyHash: x.r.BodyHash, CallID: x.r.CallID, Class: x.r.Class, Function: x.r.Function,
				ExpiresAt: x.r.ExpiresAt,
			}
			_, run, err := s.acquireReceipt(x.operator, x.id, goldenTime(sec), fresh, nil, never)
			require.NoError(t, err)
			require.Equal(t, i == 0, run)
		}
		if x.r.Status != statusRunning {
			require.NoError(t, s.recordOutcome(x.operator, x.id, x.answer, x.notification))
		}
	}
	for _, x := range storedNotifications() {
		n := x.n
		n.Attempts, n.TotalBackoff = 0, 0
		require.NoError(t, s.enqueue([]*notification{&n}))
		n.Attempts, n.TotalBackoff = x.n.Attempts, x.n.TotalBackoff
		switch {
		case x.due.IsZero():
			require.NoError(t, s.abandon(&n))
		case n.Attempts > 0:
			require.NoError(t, s.reschedule(&n, x.due))
		}
	}
	require.NoError(t, s.Close())
}

// openGolden opens a copy of the golden file.
func openGolden(t *testing.T) *Store {
	t.Helper()
	raw, err := os.ReadFile(goldenState)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "state.db")
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	s, err := OpenStore(path, 100)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// dumpRecords returns all records, one per line: bucket, key, and the value, quoted if it is not
// JSON.
func dumpRecords(t *testing.T, s *Store) string {
	t.Helper()
	var b strings.Builder
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(k, v []byte) error {
				value := string(v)
				if !json.Valid(v) {
					value = strconv.QuoteToASCII(value)
				}
				fmt.Fprintf(&b, "%s %s %s\n", name, strconv.QuoteToASCII(string(k)), value)
				return nil
			})
		})
	}))
	return b.String()
}

// The golden state file must exist. With -update a missing one is created; an existing one is never
// replaced.
func TestGoldenStateExists(t *testing.T) {
	if _, err := os.Stat(goldenState); *updateGolden && errors.Is(err, fs.ErrNotExist) {
		writeState(t, goldenState)
	}
	assert.FileExists(t, goldenState)
}

// Receipts written by an earlier build can be read with every field and give the recorded outcomes.
func TestGoldenReceiptsAreReadable(t *testing.T) {
	s := openGolden(t)
	for _, x := range storedReceipts() {
		for _, sec := range x.times {
			x.r.Timestamps = append(x.r.Timestamps, goldenTime(sec).Unix())
		}
		var r receipt
		require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
			known, err := getJSON(tx.Bucket(receiptBucket), receiptKey(x.operator, x.id), &r)
			assert.True(t, known, x.operator+" "+x.id)
			return err
		}))
		assert.Equal(t, x.r, r, x.operator+" "+x.id)
		assert.Equal(t, x.answer, r.answer(), x.operator+" "+x.id)
	}
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		n, err := s.addReceiptCount(tx, 0)
		assert.EqualValues(t, len(storedReceipts()), n)
		return err
	}))
	var interrupted []string
	_, err := s.failInterrupted(func(operator, id string, _ receipt) *notification {
		interrupted = append(interrupted, operator+" "+id)
		return nil
	})
	require.NoError(t, err)
	assert.Equal(t, []string{"ironbridge m-1"}, interrupted, "left running")
}

// Messages that an earlier build received are matched by operator, id and body, and not executed
// again.
func TestGoldenReceiptsAreMatchedOnRedelivery(t *testing.T) {
	s := openGolden(t)
	never := func(receipt) bool { return false }
	for _, x := range storedReceipts() {
		_, _, err := s.acquireReceipt(
			x.operator, x.id, goldenTime(x.times[0]), receipt{BodyHash: x.r.BodyHash}, nil, never)
		require.ErrorIs(t, err, errReplayed, x.operator+" "+x.id)
		_, _, err = s.acquireReceipt(x.operator, x.id, goldenTime(7), receipt{BodyHash: []byte("other")}, nil, never)
		require.ErrorIs(t, err, errBodyMismatch, x.operator+" "+x.id)
		redelivered := receipt{BodyHash: x.r.BodyHash, CallID: "new"}
		r, run, err := s.acquireReceipt(x.operator, x.id, goldenTime(7), redelivered, nil, never)
		require.NoError(t, err)
		assert.False(t, run)
		assert.Equal(t, x.r.CallID, r.CallID)
		assert.Equal(t, x.answer, r.answer(), x.operator+" "+x.id)
	}
}

// Notifications written by an earlier build, queued or abandoned, can be read with every field, and
// queued ones with their due times.
func TestGoldenNotificationsAreReadable(t *testing.T) {
	s := openGolden(t)
	type dueNotification struct {
		n  notification
		at time.Time
	}
	var want, got []dueNotification
	abandoned := map[string]notification{}
	for _, x := range storedReceipts() {
		if x.notification != nil {
			want = append(want, dueNotification{*x.notification, x.notification.CreatedAt})
		}
	}
	for _, x := range storedNotifications() {
		if x.due.IsZero() {
			abandoned[x.n.ID] = x.n
		} else {
			want = append(want, dueNotification{x.n, x.due})
		}
	}
	_, next, err := s.due(time.Unix(0, 0), nil)
	require.NoError(t, err)
	for !next.IsZero() {
		at := next
		var ready []*notification
		ready, next, err = s.due(at, func(*notification) bool { return true })
		require.NoError(t, err)
		require.Len(t, ready, len(got)+1, "one more is due")
		got = append(got, dueNotification{*ready[len(got)], at.UTC()})
	}
	assert.Equal(t, want, got)
	queued, abandonedCount, err := s.notificationCounts()
	require.NoError(t, err)
	assert.Equal(t, []int{len(want), len(abandoned)}, []int{queued, abandonedCount}, "queued and abandoned")
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		for id, x := range abandoned {
			var n notification
			known, err := getJSON(tx.Bucket(abandonedBucket), []byte(id), &n)
			require.NoError(t, err)
			assert.True(t, known, id)
			assert.Equal(t, x, n)
		}
		return nil
	}))
	for _, x := range want {
		require.NoError(t, s.remove(x.n.ID))
	}
	ready, _, err := s.due(time.Unix(0, math.MaxInt64), func(*notification) bool { return true })
	require.NoError(t, err)
	assert.Empty(t, ready, "all are removed by id")
}

// The same receipts and notifications are stored as the same records, byte for byte, as in an
// earlier build.
func TestGoldenRecordsAreWrittenIdentically(t *testing.T) {
	golden := filepath.Join("testdata", "records.golden")
	committed := dumpRecords(t, openGolden(t))
	if *updateGolden {
		require.NoError(t, os.WriteFile(golden, []byte(committed), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	assert.Equal(t, string(want), committed, "as committed")
	path := filepath.Join(t.TempDir(), "state.db")
	writeState(t, path)
	s, err := OpenStore(path, 100)
	require.NoError(t, err)
	defer func() { assert.NoError(t, s.Close()) }()
	assert.Equal(t, string(want), dumpRecords(t, s), "in a new file")
}

// The body of a notification is the same as that of an earlier build.
func TestNotificationBodyMatchesGolden(t *testing.T) {
	d := newTestFront(t, "http://127.0.0.1:1/")
	n := d.notifier.newNotification("ironbridge", completionData{
		CallID: "c1", MessageID: "m-1", Class: "path-book",
		Function: "00000000000000ff", Outcome: outcomeText(oakthread.TimedOut),
		Reason: outcomeReason(oakthread.TimedOut, false),
	},
		goldenTime(1))
	require.NotNil(t, n)
	assert.Equal(t, "msg_c1", n.ID)
	assert.Equal(t, "ironbridge", n.Operator)
	assert.Equal(t, notificationBody, string(n.Body))
}
