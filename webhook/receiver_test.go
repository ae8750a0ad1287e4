package webhook

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
)

// A second delivery with the same signature is rejected as a replay, one with a new signature is
// answered with the recorded outcome, and one with another body is rejected. A call that was
// rejected, or that failed and is idempotent, is executed again.
func TestRedeliveryIsAnsweredFromReceipt(t *testing.T) {
	rejected := oakthread.Answer{Outcome: oakthread.Rejected, RetryAfter: 1500 * time.Millisecond}
	for name, c := range map[string]struct {
		class  string
		answer oakthread.Answer
		err    error
		status int
		runs   int // after two deliveries
	}{
		"served":             {"path-book", oakthread.Answer{Body: []byte("slot 4")}, nil, 200, 1},
		"failed":             {"path-book", oakthread.Answer{Outcome: oakthread.Failed}, nil, 502, 1},
		"timed out":          {"path-book", oakthread.Answer{Outcome: oakthread.TimedOut}, nil, 504, 1},
		"core closed":        {"path-book", oakthread.Answer{}, oakthread.ErrClosed, 502, 1},
		"rejected":           {"path-book", rejected, nil, 503, 2},
		"idempotent, failed": {"path-check", oakthread.Answer{Outcome: oakthread.Failed}, nil, 502, 2},
		"idempotent, served": {"path-check", oakthread.Answer{Body: []byte("ok")}, nil, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestFront(t, "")
			d.core.answer = func(oakthread.Request) (oakthread.Answer, error) { return c.answer, c.err }
			now, body := time.Now(), requestBody(c.class, testFunction, "x")
			first := signed(t, secret(1), "m", now, body)
			for i, header := range []http.Header{first, signed(t, secret(1), "m", now.Add(time.Second), body)} {
				w := d.deliver(header, body)
				assert.Equal(t, c.status, w.Code)
				assert.Equal(t, string(c.answer.Body), w.Body.String())
				if c.status == 503 {
					assert.Equal(t, "2", w.Header().Get("Retry-After"))
				}
				assert.Equal(t, i == 1 && c.runs == 1, w.Header().Get("Oakthread-Recorded") == "1")
			}
			assert.Equal(t, 409, d.deliver(first, body).Code, "replay")
			other := requestBody(c.class, testFunction, "y")
			otherBody := signed(t, secret(1), "m", now.Add(2*time.Second), other)
			assert.Equal(t, 409, d.deliver(otherBody, other).Code, "other body")
			d.core.answer = echo
			otherOperator := signed(t, secret(2), "m", now, body)
			assert.Equal(t, 200, d.deliver(otherOperator, body).Code, "same id of another operator")
			assert.Equal(t, c.runs+1, d.core.runs["m"])
		})
	}
}

// A delivery that arrives while the message is being executed joins that execution.
func TestConcurrentRedeliveryJoinsExecution(t *testing.T) {
	d := newTestFront(t, "")
	started, release := make(chan bool), make(chan bool)
	d.core.answer = func(request oakthread.Request) (oakthread.Answer, error) {
		started <- true
		<-release
		return echo(request)
	}
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	codes := make(chan int, 2)
	send := func(at time.Time) { codes <- d.deliver(signed(t, secret(1), "m", at, body), body).Code }
	go send(now)
	<-started
	ctx, cancel := context.WithCancel(t.Context()) // a sender that disconnects does not end the execution
	cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", bytes.NewReader(body))
	request.Header = signed(t, secret(1), "m", now.Add(time.Second), body)
	d.receiver.ServeHTTP(httptest.NewRecorder(), request)
	go send(now.Add(2 * time.Second))
	for d.receiver.Counters().Joined < 2 {
		select {
		case code := <-codes:
			t.Fatal("answered before the execution ended", code)
		default:
		}
	}
	close(release)
	assert.Equal(t, []int{200, 200}, []int{<-codes, <-codes})
	assert.Equal(t, map[string]int{"m": 1}, d.core.runs)
}

// A call that was being executed when the process died is recorded as failed at the next start and
// not executed again, since its receipt was on disk before it was executed.
func TestInterruptedExecutionIsFailedAfterRestart(t *testing.T) {
	d := newTestFront(t, "")
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	d.core.answer = func(request oakthread.Request) (oakthread.Answer, error) {
		// The process dies here: the next one finds the file as it is now.
		require.NoError(t, d.store.db.Sync())
		raw, err := os.ReadFile(d.options.State)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(d.options.State+".crash", raw, 0o600))
		return echo(request)
	}
	assert.Equal(t, 200, d.deliver(signed(t, secret(1), "m", now, body), body).Code)
	d.stop()
	d.options.State += ".crash"
	d.start()
	assert.Equal(t, 409, d.deliver(signed(t, secret(1), "m", now, body), body).Code, "replay after a restart")
	assert.Equal(t, 502, d.deliver(signed(t, secret(1), "m", now.Add(time.Second), body), body).Code)
	assert.Equal(t, map[string]int{"m": 1}, d.core.runs)
}

// The number of receipts is limited, and no receipt is deleted before it expires to make room for
// another.
func TestReceiptsAreBoundedAndPruned(t *testing.T) {
	d := newTestFront(t, "")
	d.store.maxReceipts = 2
	body := requestBody("path-book", testFunction, "x")
	deliver := func(id string) *httptest.ResponseRecorder {
		return d.deliver(signed(t, secret(1), id, time.Now(), body), body)
	}
	assert.Equal(t, []int{200, 200, 503}, []int{deliver("a").Code, deliver("b").Code, deliver("c").Code})
	assert.Equal(t, "60", deliver("c").Header().Get("Retry-After"))
	deleted, err := d.store.prune(time.Now(), time.Hour)
	require.NoError(t, err)
	assert.Zero(t, deleted)
	deleted, err = d.store.prune(time.Now().Add(d.options.ReceiptRetention.Duration+time.Second), time.Hour)
	require.NoError(t, err)
	assert.Equal(t, 2, deleted)
	assert.Equal(t, 200, deliver("c").Code)
	assert.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, d.core.runs)
}
