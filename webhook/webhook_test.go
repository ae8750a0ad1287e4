package webhook

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"oakthread"
	"oakthread/balancer"
)

var (
	quiet   = slog.New(slog.DiscardHandler)
	classes = []Class{{"path-check", time.Second, balancer.Idempotent}, {"path-book", time.Second, balancer.NotIdempotent}}
	tenants = []string{"ironbridge-haul", "soar-freight"}
)

func secret(n byte) string {
	return "whsec_" + base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{n}, 24))
}

// booker stands for the Core: it counts what it runs and answers as told.
type booker struct {
	mu     sync.Mutex
	ran    map[string]int // by the caller's id
	answer func(q oakthread.Request) (oakthread.Answer, error)
}

func (b *booker) Do(_ context.Context, q oakthread.Request) (oakthread.Answer, error) {
	b.mu.Lock()
	b.ran[q.Ref]++
	b.mu.Unlock()
	return b.answer(q)
}

func echo(q oakthread.Request) (oakthread.Answer, error) {
	return oakthread.Answer{Outcome: oakthread.Served, Body: q.Body}, nil
}

// daemon is the webhook front with its files, which may be stopped and started again.
type daemon struct {
	t      *testing.T
	dir    string
	o      *Options
	core   *booker
	ring   *Ring
	store  *Store
	disk   *failingDisk
	sender *Sender
	rc     *Receiver
	stop   func()
}

func newDaemon(t *testing.T, notify string) *daemon {
	d := &daemon{t: t, dir: t.TempDir(), core: &booker{ran: map[string]int{}, answer: echo}}
	d.keys("ironbridge", secret(1))
	d.keys("soar", secret(2))
	d.o = &Options{State: filepath.Join(d.dir, "state.db"), Notify: []string{"path-book"}, Retry: span{time.Millisecond},
		RetryMax: span{5 * time.Millisecond}, Operators: []Operator{
			{Name: "ironbridge", Tenant: "ironbridge-haul", KeysFile: filepath.Join(d.dir, "ironbridge"), Notify: notify},
			{Name: "soar", Tenant: "soar-freight", KeysFile: filepath.Join(d.dir, "soar")}}}
	require.NoError(t, d.o.fill())
	d.start()
	t.Cleanup(func() { d.stop() })
	return d
}

func (d *daemon) keys(op string, lines ...string) {
	require.NoError(d.t, os.WriteFile(filepath.Join(d.dir, op), []byte(strings.Join(lines, "\n")), 0o600))
}

func (d *daemon) start() {
	var err error
	d.ring, err = NewRing(d.o.Operators, quiet)
	require.NoError(d.t, err)
	d.store, err = OpenStore(d.o.State, d.o.Receipts)
	require.NoError(d.t, err)
	d.disk = &failingDisk{DB: d.store.db.(*bbolt.DB)}
	d.store.db = d.disk
	d.sender, err = NewSender(d.o, d.ring, d.store, classes, tenants, nil, quiet)
	require.NoError(d.t, err)
	d.rc, err = NewReceiver(d.core, d.o, d.ring, d.store, d.sender, classes, tenants, quiet)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan bool)
	go func() { d.sender.Run(ctx); close(ran) }()
	d.stop = func() {
		d.rc.Close()
		cancel()
		<-ran
		require.NoError(d.t, d.store.Close())
	}
}

func want(class, function, body string) []byte {
	b, _ := json.Marshal(map[string]any{"type": class + ".requested",
		"data": callData{Function: function, Body: []byte(body), Lanes: 2}})
	return b
}

func signed(t *testing.T, key, id string, at time.Time, body []byte) http.Header {
	wh, err := standardwebhooks.NewWebhook(key)
	require.NoError(t, err)
	sig, err := wh.Sign(id, at, body)
	require.NoError(t, err)
	return http.Header{"Webhook-Id": {id}, "Webhook-Timestamp": {fmt.Sprint(at.Unix())}, "Webhook-Signature": {sig}}
}

func (d *daemon) deliver(h http.Header, body []byte) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "/webhooks", bytes.NewReader(body))
	r.Header = h.Clone()
	w := httptest.NewRecorder()
	d.rc.ServeHTTP(w, r)
	return w
}

const fn = "7f3a9c21e0b4d655"

// Guards the signature: altered in any part, stale, early, or by a key not in force, it is a 401 and nothing runs.
func TestSignatures(t *testing.T) {
	d := newDaemon(t, "")
	now, body := time.Now(), want("path-book", fn, "x")
	for name, c := range map[string]struct {
		key    string
		id     string
		at     time.Time
		change func(h http.Header)
		want   int
	}{
		"good":              {secret(1), "good", now, nil, 200},
		"second of two":     {secret(1), "two", now, func(h http.Header) { h.Set("Webhook-Signature", "v1,AAAA "+h.Get("Webhook-Signature")) }, 200},
		"unknown key":       {secret(9), "a", now, nil, 401},
		"stale":             {secret(1), "b", now.Add(-Tolerance - time.Minute), nil, 401},
		"early":             {secret(1), "c", now.Add(Tolerance + time.Minute), nil, 401},
		"other id":          {secret(1), "d", now, func(h http.Header) { h.Set("Webhook-Id", "e") }, 401},
		"other time":        {secret(1), "f", now, func(h http.Header) { h.Set("Webhook-Timestamp", fmt.Sprint(now.Unix()+1)) }, 401},
		"time is no figure": {secret(1), "g", now, func(h http.Header) { h.Set("Webhook-Timestamp", "now") }, 401},
		"other version":     {secret(1), "h", now, func(h http.Header) { h.Set("Webhook-Signature", "v2"+h.Get("Webhook-Signature")[2:]) }, 401},
		"none":              {secret(1), "i", now, func(h http.Header) { h.Del("Webhook-Signature") }, 401},
		"dot in id":         {secret(1), "j.1", now, nil, 401},
	} {
		h := signed(t, c.key, c.id, c.at, body)
		if c.change != nil {
			c.change(h)
		}
		assert.Equal(t, c.want, d.deliver(h, body).Code, name)
	}
	assert.Equal(t, 401, d.deliver(signed(t, secret(1), "k", now, body), append(body, ' ')).Code, "altered body")
	assert.Equal(t, map[string]int{"good": 1, "two": 1}, d.core.ran)
	assert.Equal(t, int64(10), d.rc.Counters().Unsigned)
}

func TestMalformedMessages(t *testing.T) {
	d := newDaemon(t, "")
	for i, c := range []struct {
		body []byte
		want int
	}{
		{[]byte("no json"), 400},
		{want("path-walk", fn, ""), 400},
		{[]byte(`{"type":"path-book","data":{"function":"` + fn + `"}}`), 400},
		{want("path-book", "7f", ""), 400},
		{want("path-book", fn, strings.Repeat("x", maxCall+1)), 400},
		{[]byte(`{"type":"path-book.requested","data":{"function":"` + fn + `","patience_ms":-1}}`), 400},
		{bytes.Repeat([]byte("x"), maxMessage+1), 413},
	} {
		assert.Equal(t, c.want, d.deliver(signed(t, secret(1), fmt.Sprint(i), time.Now(), c.body), c.body).Code, i)
	}
	assert.Empty(t, d.core.ran)
	assert.Equal(t, int64(7), d.rc.Counters().Malformed)
}

// Guards against a second booking: the same message again is a replay, signed anew it gets the recorded outcome,
// and with another body it is refused. What ran not at all may run when it comes again.
func TestDeliveredAgain(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		answer oakthread.Answer
		err    error
		status int
		runs   int // after two deliveries
	}{
		"served":          {"path-book", oakthread.Answer{Body: []byte("slot 4")}, nil, 200, 1},
		"failed":          {"path-book", oakthread.Answer{Outcome: oakthread.Failed}, nil, 502, 1},
		"out of time":     {"path-book", oakthread.Answer{Outcome: oakthread.TimedOut}, nil, 504, 1},
		"cut off":         {"path-book", oakthread.Answer{}, oakthread.ErrClosed, 502, 1},
		"refused":         {"path-book", oakthread.Answer{Outcome: oakthread.Rejected, RetryAfter: 1500 * time.Millisecond}, nil, 503, 2},
		"safe and failed": {"path-check", oakthread.Answer{Outcome: oakthread.Failed}, nil, 502, 2},
		"safe and served": {"path-check", oakthread.Answer{Body: []byte("ok")}, nil, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(t, "")
			d.core.answer = func(oakthread.Request) (oakthread.Answer, error) { return c.answer, c.err }
			now, body := time.Now(), want(c.class, fn, "x")
			first := signed(t, secret(1), "m", now, body)
			for i, h := range []http.Header{first, signed(t, secret(1), "m", now.Add(time.Second), body)} {
				w := d.deliver(h, body)
				assert.Equal(t, c.status, w.Code)
				assert.Equal(t, string(c.answer.Body), w.Body.String())
				if c.status == 503 {
					assert.Equal(t, "2", w.Header().Get("Retry-After"))
				}
				assert.Equal(t, i == 1 && c.runs == 1, w.Header().Get("Oakthread-Recorded") == "1")
			}
			assert.Equal(t, 409, d.deliver(first, body).Code, "replay")
			other := want(c.class, fn, "y")
			assert.Equal(t, 409, d.deliver(signed(t, secret(1), "m", now.Add(2*time.Second), other), other).Code, "other body")
			assert.Equal(t, 200, func() int { // the id is the operator's own: another one's is another message
				d.core.answer = echo
				return d.deliver(signed(t, secret(2), "m", now, body), body).Code
			}())
			assert.Equal(t, c.runs+1, d.core.ran["m"])
		})
	}
}

// Guards against two runs of one message side by side: the second delivery joins the first.
func TestJoinsTheRunUnderWay(t *testing.T) {
	d := newDaemon(t, "")
	began, goOn := make(chan bool), make(chan bool)
	d.core.answer = func(q oakthread.Request) (oakthread.Answer, error) { began <- true; <-goOn; return echo(q) }
	now, body := time.Now(), want("path-book", fn, "x")
	codes := make(chan int, 2)
	send := func(at time.Time) { codes <- d.deliver(signed(t, secret(1), "m", at, body), body).Code }
	go send(now)
	<-began
	ctx, leave := context.WithCancel(t.Context()) // a sender that leaves does not end the run
	leave()
	r := httptest.NewRequestWithContext(ctx, "POST", "/", bytes.NewReader(body))
	r.Header = signed(t, secret(1), "m", now.Add(time.Second), body)
	d.rc.ServeHTTP(httptest.NewRecorder(), r)
	go send(now.Add(2 * time.Second))
	for d.rc.Counters().Joined < 2 {
		select {
		case code := <-codes:
			t.Fatal("answered before the run ended", code)
		default:
		}
	}
	close(goOn)
	assert.Equal(t, []int{200, 200}, []int{<-codes, <-codes})
	assert.Equal(t, map[string]int{"m": 1}, d.core.ran)
}

// Guards against a booking run again after a crash: its receipt was on disk before it ran, so it has failed.
func TestCutOffByARestart(t *testing.T) {
	d := newDaemon(t, "")
	now, body := time.Now(), want("path-book", fn, "x")
	d.core.answer = func(q oakthread.Request) (oakthread.Answer, error) {
		// The process dies here: what is on disk now is what the next one finds.
		require.NoError(t, d.store.db.Sync())
		raw, err := os.ReadFile(d.o.State)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(d.o.State+".crash", raw, 0o600))
		return echo(q)
	}
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now, body), body).Code)
	d.stop()
	d.o.State += ".crash"
	d.start()
	assert.Equal(t, 409, d.deliver(signed(t, secret(1), "m", now, body), body).Code, "replay over a restart")
	assert.Equal(t, 502, d.deliver(signed(t, secret(1), "m", now.Add(time.Second), body), body).Code)
	assert.Equal(t, map[string]int{"m": 1}, d.core.ran)
}

// Guards against receipts without bound, and against dropping one within its time to make room.
func TestReceiptsFullAndPruned(t *testing.T) {
	d := newDaemon(t, "")
	d.store.most = 2
	body := want("path-book", fn, "x")
	code := func(id string) *httptest.ResponseRecorder {
		return d.deliver(signed(t, secret(1), id, time.Now(), body), body)
	}
	assert.Equal(t, []int{200, 200, 503}, []int{code("a").Code, code("b").Code, code("c").Code})
	assert.Equal(t, "60", code("c").Header().Get("Retry-After"))
	n, err := d.store.prune(time.Now(), time.Hour)
	require.NoError(t, err)
	assert.Zero(t, n)
	n, err = d.store.prune(time.Now().Add(d.o.Keep.Duration+time.Second), time.Hour)
	require.NoError(t, err)
	assert.Equal(t, 2, n)
	assert.Equal(t, 200, code("c").Code)
	assert.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, d.core.ran)
}

// Guards against a set-up that could book twice or not start: each is refused with a plain line.
func TestOptionsAreChecked(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "keys"), []byte("# rotated today\n"+secret(1)+"\n"), 0o600))
	op := "[[operator]]\nname='a'\ntenant='ironbridge-haul'\nkeys_file='keys'\n"
	for text, bad := range map[string]string{
		op:                              "must not run twice",
		"classes=['path-check']\n" + op: "",
		"state='s'\n" + op:              "",
		"state='s'\nkeep='1m'\n" + op:   "keep",
		"state='s'\nkeep='week'\n" + op: "week",
		"state='s'\nkeys='x'\n" + op:    "unknown key",
		"state='s'\n":                   "no operator",
		"classes=['path-walk']\n" + op:  "path-walk",
		"classes=['path-check']\nnotify=['path-check']\n" + op:                            "state file",
		"state='s'\n" + strings.Replace(op, "'keys'", "'none'", 1):                        "keys_file",
		"state='s'\n" + strings.Replace(op, "ironbridge-haul", "acme", 1):                 "acme",
		"state='s'\n" + strings.Replace(op, "name='a'", "name='a'\nspiffe_id='http:'", 1): "spiffe_id",
	} {
		path := filepath.Join(dir, "webhooks.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		err := func() error {
			o, err := ReadOptions(path)
			if err != nil {
				return err
			}
			f, err := Open(o, &booker{}, classes, tenants, nil, quiet)
			if err == nil {
				f.tidy()
			}
			return err
		}()
		if bad == "" {
			assert.NoError(t, err, text)
		} else if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), bad)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

// Proof of both directions on loopback: a sender repeats, alters and replays its messages while the keys rotate and
// the daemon restarts; a receiver of notices fails at first and counts. Bookings and refusals are counted against
// what was sent.
func TestBookingsAgainstWhatWasSent(t *testing.T) {
	const messages = 60
	var mu sync.Mutex
	told, tries, forged := map[string]string{}, map[string]int{}, 0
	all := make(chan bool)
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		good := false
		for _, k := range []string{secret(1), secret(3)} { // a receiver too knows both keys while they rotate
			wh, _ := standardwebhooks.NewWebhook(k)
			good = good || wh.Verify(body, r.Header) == nil
		}
		if !good {
			forged++
		}
		id := r.Header.Get("Webhook-Id")
		if tries[id]++; tries[id] < 3 {
			w.WriteHeader(500)
			return
		}
		var n struct {
			Data settled `json:"data"`
		}
		_ = json.Unmarshal(body, &n)
		if told[id] == "" {
			told[id] = n.Data.Message + " " + n.Data.Outcome
			if len(told) == messages {
				close(all)
			}
		}
	}))
	defer receiver.Close()
	d := newDaemon(t, receiver.URL)
	answer := func(q oakthread.Request) (oakthread.Answer, error) {
		if strings.HasSuffix(q.Ref, "7") {
			return oakthread.Answer{Outcome: oakthread.Failed}, nil
		}
		return echo(q)
	}
	d.core.answer = answer
	key, codes, now := secret(1), map[int]int{}, time.Now()
	for i := range messages {
		switch i {
		case messages / 3: // the new key comes beside the old one
			d.keys("ironbridge", secret(3), secret(1))
		case messages / 2:
			d.stop()
			d.start()
		case messages * 2 / 3: // the old one goes
			d.keys("ironbridge", secret(3))
			key = secret(3)
		}
		_, err := d.ring.Reload()
		require.NoError(t, err)
		id, body := fmt.Sprint("m", i), want("path-book", fn, fmt.Sprint(i))
		first := signed(t, key, id, now, body)
		codes[d.deliver(first, body).Code]++                                                   // 200, or 502 for one in ten
		codes[d.deliver(first, body).Code]++                                                   // replayed: 409
		codes[d.deliver(first, bytes.Replace(body, []byte(fn), []byte(fn[1:]+"0"), 1)).Code]++ // altered: 401
		codes[d.deliver(signed(t, key, id, now.Add(time.Second), body), body).Code]++          // sent again: as the first
		codes[d.deliver(signed(t, secret(9), id, now, body), body).Code]++                     // unknown key: 401
	}
	assert.Equal(t, 401, d.deliver(signed(t, secret(1), "old", now, want("path-book", fn, "")), want("path-book", fn, "")).Code, "key out of force")
	assert.Equal(t, map[int]int{200: 2 * (messages - 6), 502: 2 * 6, 409: messages, 401: 2 * messages}, codes)
	assert.Len(t, d.core.ran, messages)
	for id, n := range d.core.ran {
		assert.Equal(t, 1, n, id)
	}
	<-all
	mu.Lock()
	defer mu.Unlock()
	assert.Zero(t, forged)
	outcomes := map[string]bool{}
	for id, o := range told {
		outcomes[o] = true
		assert.Equal(t, 3, tries[id], "deliveries of %s under one id", id)
	}
	for i := range messages {
		o := served
		if strings.HasSuffix(fmt.Sprint(i), "7") {
			o = failed
		}
		assert.True(t, outcomes[fmt.Sprintf("m%d %s", i, o)], i)
	}
}

// Guards the Core's loop and the operator's log of settlements: other fronts' bookings are told too, classes not set
// up are not, and a notice is given up in the end.
func TestNoticesOfOtherFronts(t *testing.T) {
	gone := make(chan string, 4)
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusGone)
		gone <- string(b)
	}))
	defer receiver.Close()
	d := newDaemon(t, receiver.URL)
	settle := func(id string, class, tenant int) {
		d.sender.Settled(oakthread.Completion{Request: oakthread.Request{ID: id, Class: class, Tenant: tenant, Key: fn},
			Answer: oakthread.Answer{Outcome: oakthread.TimedOut}, At: time.Now()})
	}
	settle("c1", 0, 0)  // a class that is not told
	settle("c2", 1, 1)  // an operator that wants no notices
	settle("c3", 1, -1) // nobody's
	settle("c4", 1, 0)
	assert.Contains(t, <-gone, `"data":{"call_id":"c4","class":"path-book","function":"`+fn+`","outcome":"failed","reason":"out of time"}`)
	d.stop()
	assert.Empty(t, gone)
	d.start()
	open, given, err := d.sender.Waiting()
	require.NoError(t, err)
	assert.Equal(t, []int{0, 1}, []int{open, given})
	for tries := range 20 {
		b := d.sender.backoff(tries + 1)
		assert.True(t, b > 0 && b <= d.o.RetryMax.Duration, b)
	}
}

// Guards the front's connections against messages that never come whole: they end with a 408.
func TestSlowMessagesEnd(t *testing.T) {
	d := newDaemon(t, "")
	d.rc.slowest = 20 * time.Millisecond
	srv := httptest.NewServer(d.rc)
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	require.NoError(t, err, "the connection ends")
	assert.Contains(t, string(got), "HTTP/1.1 408 ")
	assert.Equal(t, int64(1), d.rc.Counters().Malformed)
}
