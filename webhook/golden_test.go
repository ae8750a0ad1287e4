package webhook

// This file holds the state file's stored form, and the text of a notice, against those of an earlier build.

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

// goldenTime is a time of the committed file; n is in seconds.
func goldenTime(n int) time.Time { return time.Unix(1_800_000_000+int64(n), 987_654_321).UTC() }

// noticeBody is the text of a notice as an operator's system gets it.
const noticeBody = `{"type":"path-book.settled","timestamp":"2027-01-15T08:00:01.987654321Z","data":{"call_id":"c1",` +
	`"message_id":"m-1","class":"path-book","function":"00000000000000ff","outcome":"failed","reason":"out of time"}}`

// storedReceipt is one receipt of the committed file, with the answer that it stands for.
type storedReceipt struct {
	op, id string
	times  []int // of its deliveries
	r      receipt
	answer oakthread.Answer
	notice *notice // written with the outcome
}

func storedReceipts() []storedReceipt {
	made := func(n int, class, status string, body []byte, wait time.Duration) receipt {
		return receipt{Sum: []byte{byte(n), 0xfe}, Call: fmt.Sprint("c", n), Class: class, Key: fmt.Sprintf("%016x", n),
			Status: status, Body: body, Wait: wait, Expires: goldenTime(1000 * n)}
	}
	body := func(s string) []byte { return []byte(s) }
	return []storedReceipt{
		{"ironbridge", "m-1", []int{1}, made(1, "path-book", running, nil, 0),
			oakthread.Answer{Outcome: oakthread.Failed}, nil},
		{"ironbridge", "m-2", []int{2, 22, 222}, made(2, "path-book", served, body("a path\n\x00\xff"), 0),
			oakthread.Answer{Outcome: oakthread.Served, Body: body("a path\n\x00\xff")},
			&notice{ID: "msg_c2", Operator: "ironbridge", Body: body(noticeBody), Made: goldenTime(20)}},
		{"ironbridge", "m-3", []int{3}, made(3, "path-check", refused, body("full"), 1500*time.Millisecond),
			oakthread.Answer{Outcome: oakthread.Rejected, Body: body("full"), RetryAfter: 1500 * time.Millisecond}, nil},
		{"soar", "m-1", []int{4}, made(4, "path-check", failed, body("broken"), 0),
			oakthread.Answer{Outcome: oakthread.Failed, Body: body("broken")},
			&notice{ID: "msg_c4", Operator: "soar", Body: body(`{"n":4}`), Made: goldenTime(40)}},
		{"soar", "m-5", []int{5}, made(5, "path-book", timedOut, body("late"), 2500*time.Millisecond),
			oakthread.Answer{Outcome: oakthread.TimedOut, Body: body("late"), RetryAfter: 2500 * time.Millisecond},
			&notice{ID: "msg_c5", Operator: "soar", Body: body(`{"n":5}`), Made: goldenTime(50)}},
		{"soar", "m-6", []int{6}, made(6, "path-book", served, nil, 0), oakthread.Answer{Outcome: oakthread.Served}, nil},
	}
}

// storedNotice is one notice of another front's call.
type storedNotice struct {
	n   notice
	due time.Time // zero: put aside
}

func storedNotices() []storedNotice {
	made := func(n int, op string, tries int, waited time.Duration) notice {
		return notice{ID: fmt.Sprint("msg_d", n), Operator: op, Body: fmt.Appendf(nil, `{"d":%d}`, n),
			Made: goldenTime(100 * n), Tries: tries, Waited: waited}
	}
	return []storedNotice{
		{made(1, "ironbridge", 0, 0), goldenTime(100)},
		{made(2, "soar", 3, 35*time.Second), goldenTime(235)},
		{made(3, "ironbridge", 17, 73*time.Hour), time.Time{}},
		{made(4, "soar", 1, 0), time.Time{}},
	}
}

// writeState writes the receipts and notices into a state file by the calls that the front makes.
func writeState(t *testing.T, path string) {
	t.Helper()
	s, err := OpenStore(path, 100)
	require.NoError(t, err)
	never := func(receipt) bool { return false }
	for _, x := range storedReceipts() {
		for i, sec := range x.times {
			fresh := receipt{Sum: x.r.Sum, Call: x.r.Call, Class: x.r.Class, Key: x.r.Key, Expires: x.r.Expires}
			_, run, err := s.take(x.op, x.id, goldenTime(sec), fresh, nil, never)
			require.NoError(t, err)
			require.Equal(t, i == 0, run)
		}
		if x.r.Status != running {
			require.NoError(t, s.settle(x.op, x.id, x.answer, x.notice))
		}
	}
	for _, x := range storedNotices() {
		n := x.n
		n.Tries, n.Waited = 0, 0
		require.NoError(t, s.enqueue([]*notice{&n}))
		n.Tries, n.Waited = x.n.Tries, x.n.Waited
		switch {
		case x.due.IsZero():
			require.NoError(t, s.putAside(&n))
		case n.Tries > 0:
			require.NoError(t, s.later(&n, x.due))
		}
	}
	require.NoError(t, s.Close())
}

// opened is a copy of the committed file, opened.
func opened(t *testing.T) *Store {
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

// records are all records, one a line: bucket, key, and the value as it is, or quoted where it is no JSON.
func records(t *testing.T, s *Store) string {
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

// With -update it makes the database where there is none; one that is there always stays.
func TestStoredStateIsThere(t *testing.T) {
	if _, err := os.Stat(goldenState); *updateGolden && errors.Is(err, fs.ErrNotExist) {
		writeState(t, goldenState)
	}
	assert.FileExists(t, goldenState)
}

// Receipts of an earlier build are read with every field, and stand for the outcomes that were recorded.
func TestStoredReceiptsAreReadable(t *testing.T) {
	s := opened(t)
	for _, x := range storedReceipts() {
		for _, sec := range x.times {
			x.r.Times = append(x.r.Times, goldenTime(sec).Unix())
		}
		var r receipt
		require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
			known, err := get(tx.Bucket(receipts), receiptKey(x.op, x.id), &r)
			assert.True(t, known, x.op+" "+x.id)
			return err
		}))
		assert.Equal(t, x.r, r, x.op+" "+x.id)
		assert.Equal(t, x.answer, r.answer(), x.op+" "+x.id)
	}
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		n, err := s.count(tx, 0)
		assert.EqualValues(t, len(storedReceipts()), n)
		return err
	}))
	var cut []string
	_, err := s.endRunning(func(op, id string, _ receipt) *notice {
		cut = append(cut, op+" "+id)
		return nil
	})
	require.NoError(t, err)
	assert.Equal(t, []string{"ironbridge m-1"}, cut, "left running")
}

// Messages of an earlier build that come again are known by operator, id and body, and not run.
func TestStoredReceiptsAreFoundAgain(t *testing.T) {
	s := opened(t)
	never := func(receipt) bool { return false }
	for _, x := range storedReceipts() {
		_, _, err := s.take(x.op, x.id, goldenTime(x.times[0]), receipt{Sum: x.r.Sum}, nil, never)
		require.ErrorIs(t, err, errReplay, x.op+" "+x.id)
		_, _, err = s.take(x.op, x.id, goldenTime(7), receipt{Sum: []byte("other")}, nil, never)
		require.ErrorIs(t, err, errOther, x.op+" "+x.id)
		r, run, err := s.take(x.op, x.id, goldenTime(7), receipt{Sum: x.r.Sum, Call: "new"}, nil, never)
		require.NoError(t, err)
		assert.False(t, run)
		assert.Equal(t, x.r.Call, r.Call)
		assert.Equal(t, x.answer, r.answer(), x.op+" "+x.id)
	}
}

// Notices of an earlier build are due when they were, with every field, and those put aside are there.
func TestStoredNoticesAreReadable(t *testing.T) {
	s := opened(t)
	type dueNotice struct {
		n  notice
		at time.Time
	}
	var want, got []dueNotice
	given := map[string]notice{}
	for _, x := range storedReceipts() {
		if x.notice != nil {
			want = append(want, dueNotice{*x.notice, x.notice.Made})
		}
	}
	for _, x := range storedNotices() {
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
		var ns []*notice
		ns, next, err = s.due(at, func(*notice) bool { return true })
		require.NoError(t, err)
		require.Len(t, ns, len(got)+1, "one more is due")
		got = append(got, dueNotice{*ns[len(got)], at.UTC()})
	}
	assert.Equal(t, want, got)
	open, aborted, err := s.waiting()
	require.NoError(t, err)
	assert.Equal(t, []int{len(want), len(given)}, []int{open, aborted}, "waiting and given up")
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		for id, x := range given {
			var n notice
			known, err := get(tx.Bucket(aside), []byte(id), &n)
			require.NoError(t, err)
			assert.True(t, known, id)
			assert.Equal(t, x, n)
		}
		return nil
	}))
	for _, x := range want {
		require.NoError(t, s.delivered(x.n.ID))
	}
	ns, _, err := s.due(time.Unix(0, math.MaxInt64), func(*notice) bool { return true })
	require.NoError(t, err)
	assert.Empty(t, ns, "found by id")
}

// The same receipts and notices make the same records, byte for byte.
func TestStoredStateIsWrittenTheSame(t *testing.T) {
	golden := filepath.Join("testdata", "records.golden")
	committed := records(t, opened(t))
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
	defer s.Close()
	assert.Equal(t, string(want), records(t, s), "in a new file")
}

// An operator's system gets the text that it got from an earlier build.
func TestNoticeTextIsTheSame(t *testing.T) {
	d := newDaemon(t, "http://127.0.0.1:1/")
	n := d.sender.notice("ironbridge", settled{Call: "c1", Message: "m-1", Class: "path-book",
		Function: "00000000000000ff", Outcome: word(oakthread.TimedOut), Reason: reason(oakthread.TimedOut, false)},
		goldenTime(1))
	require.NotNil(t, n)
	assert.Equal(t, "msg_c1", n.ID)
	assert.Equal(t, "ironbridge", n.Operator)
	assert.Equal(t, noticeBody, string(n.Body))
}
