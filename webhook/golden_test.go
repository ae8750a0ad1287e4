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

// goldenTime returns a time in the golden file; n is in seconds.
func goldenTime(n int) time.Time { return time.Unix(1_800_000_000+int64(n), 987_654_321).UTC() }

// notificationBody is the body of a notification as an operator receives it.
const notificationBody = `{"type":"path-book.settled","timestamp":"2027-01-15T08:00:01.987654321Z",` +
	`"data":{"call_id":"c1","message_id":"m-1","class":"path-book","function":"00000000000000ff","outcome":"failed",` +
	`"reason":"out of time"}}`

// storedReceipt is a receipt in the golden file, with the answer that it records.
type storedReceipt struct {
	op, id string
	times  []int // of its deliveries
	r      receipt
	answer oakthread.Answer
	notice *notification // written with the outcome
}

func storedReceipts() []storedReceipt {
	made := func(n int, class, status string, body []byte, wait time.Duration) receipt {
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
			made(1, "path-book", statusRunning, nil, 0),
			oakthread.Answer{Outcome: oakthread.Failed},
			nil,
		},
		{
			"ironbridge", "m-2",
			[]int{2, 22, 222},
			made(2, "path-book", statusServed, body("a path\n\x00\xff"), 0),
			oakthread.Answer{Outcome: oakthread.Served, Body: body("a path\n\x00\xff")},
			enqueued("msg_c2", "ironbridge", notificationBody, 20),
		},
		{
			"ironbridge", "m-3",
			[]int{3},
			made(3, "path-check", statusRejected, body("full"), 1500*time.Millisecond),
			oakthread.Answer{Outcome: oakthread.Rejected, Body: body("full"), RetryAfter: 1500 * time.Millisecond},
			nil,
		},
		{
			"soar", "m-1",
			[]int{4},
			made(4, "path-check", statusFailed, body("broken"), 0),
			oakthread.Answer{Outcome: oakthread.Failed, Body: body("broken")},
			enqueued("msg_c4", "soar", `{"n":4}`, 40),
		},
		{
			"soar", "m-5",
			[]int{5},
			made(5, "path-book", statusTimedOut, body("late"), 2500*time.Millisecond),
			oakthread.Answer{Outcome: oakthread.TimedOut, Body: body("late"), RetryAfter: 2500 * time.Millisecond},
			enqueued("msg_c5", "soar", `{"n":5}`, 50),
		},
		{
			"soar", "m-6",
			[]int{6},
			made(6, "path-book", statusServed, nil, 0),
			oakthread.Answer{Outcome: oakthread.Served},
			nil,
		},
	}
}

// storedNotification is a notification in the golden file of a call that came by another front.
type storedNotification struct {
	n   notification
	due time.Time // zero: put aside
}

func storedNotifications() []storedNotification {
	made := func(n int, op string, tries int, waited time.Duration) notification {
		return notification{
			ID: fmt.Sprint("msg_d", n), Operator: op, Body: fmt.Appendf(nil, `{"d":%d}`, n),
			CreatedAt: goldenTime(100 * n), Attempts: tries, TotalBackoff: waited,
		}
	}
	return []storedNotification{
		{made(1, "ironbridge", 0, 0), goldenTime(100)},
		{made(2, "soar", 3, 35*time.Second), goldenTime(235)},
		{made(3, "ironbridge", 17, 73*time.Hour), time.Time{}},
		{made(4, "soar", 1, 0), time.Time{}},
	}
}

// writeState writes the receipts and notifications to a state file by the methods that the front
// calls.
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
			_, run, err := s.acquireReceipt(x.op, x.id, goldenTime(sec), fresh, nil, never)
			require.NoError(t, err)
			require.Equal(t, i == 0, run)
		}
		if x.r.Status != statusRunning {
			require.NoError(t, s.recordOutcome(x.op, x.id, x.answer, x.notice))
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

// dumpRecords returns all records, one a line: bucket, key, and the value, quoted if it is no JSON.
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

// With -update the golden file is made if there is none; one that exists is never replaced.
func TestGoldenStateExists(t *testing.T) {
	if _, err := os.Stat(goldenState); *updateGolden && errors.Is(err, fs.ErrNotExist) {
		writeState(t, goldenState)
	}
	assert.FileExists(t, goldenState)
}

// Receipts of an earlier build are read with every field and give the outcomes that were recorded.
func TestGoldenReceiptsAreReadable(t *testing.T) {
	s := openGolden(t)
	for _, x := range storedReceipts() {
		for _, sec := range x.times {
			x.r.Timestamps = append(x.r.Timestamps, goldenTime(sec).Unix())
		}
		var r receipt
		require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
			known, err := getJSON(tx.Bucket(receiptBucket), receiptKey(x.op, x.id), &r)
			assert.True(t, known, x.op+" "+x.id)
			return err
		}))
		assert.Equal(t, x.r, r, x.op+" "+x.id)
		assert.Equal(t, x.answer, r.answer(), x.op+" "+x.id)
	}
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		n, err := s.addReceiptCount(tx, 0)
		assert.EqualValues(t, len(storedReceipts()), n)
		return err
	}))
	var cut []string
	_, err := s.failInterrupted(func(op, id string, _ receipt) *notification {
		cut = append(cut, op+" "+id)
		return nil
	})
	require.NoError(t, err)
	assert.Equal(t, []string{"ironbridge m-1"}, cut, "left running")
}

// Messages that an earlier build received are matched by operator, id and body, and not executed.
func TestGoldenReceiptsAreMatchedOnRedelivery(t *testing.T) {
	s := openGolden(t)
	never := func(receipt) bool { return false }
	for _, x := range storedReceipts() {
		_, _, err := s.acquireReceipt(x.op, x.id, goldenTime(x.times[0]), receipt{BodyHash: x.r.BodyHash}, nil, never)
		require.ErrorIs(t, err, errReplayed, x.op+" "+x.id)
		_, _, err = s.acquireReceipt(x.op, x.id, goldenTime(7), receipt{BodyHash: []byte("other")}, nil, never)
		require.ErrorIs(t, err, errBodyMismatch, x.op+" "+x.id)
		redelivered := receipt{BodyHash: x.r.BodyHash, CallID: "new"}
		r, run, err := s.acquireReceipt(x.op, x.id, goldenTime(7), redelivered, nil, never)
		require.NoError(t, err)
		assert.False(t, run)
		assert.Equal(t, x.r.CallID, r.CallID)
		assert.Equal(t, x.answer, r.answer(), x.op+" "+x.id)
	}
}

// Notifications of an earlier build are read with every field and due time, and so are abandoned
// ones.
func TestGoldenNotificationsAreReadable(t *testing.T) {
	s := openGolden(t)
	type dueNotice struct {
		n  notification
		at time.Time
	}
	var want, got []dueNotice
	given := map[string]notification{}
	for _, x := range storedReceipts() {
		if x.notice != nil {
			want = append(want, dueNotice{*x.notice, x.notice.CreatedAt})
		}
	}
	for _, x := range storedNotifications() {
		if x.due.IsZero() {
			given[x.n.ID] = x.n
		} else {
			want = append(want, dueNotice{x.n, x.due})
		}
	}
	_, next, err := s.due(time.Unix(0, 0), nil)
	require.NoError(t, err)
	for !next.IsZero() {
		at := next
		var ns []*notification
		ns, next, err = s.due(at, func(*notification) bool { return true })
		require.NoError(t, err)
		require.Len(t, ns, len(got)+1, "one more is due")
		got = append(got, dueNotice{*ns[len(got)], at.UTC()})
	}
	assert.Equal(t, want, got)
	open, aborted, err := s.notificationCounts()
	require.NoError(t, err)
	assert.Equal(t, []int{len(want), len(given)}, []int{open, aborted}, "waiting and given up")
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		for id, x := range given {
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
	ns, _, err := s.due(time.Unix(0, math.MaxInt64), func(*notification) bool { return true })
	require.NoError(t, err)
	assert.Empty(t, ns, "found by id")
}

// The same receipts and notifications give the same records, byte for byte.
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
