package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// Guards the one reading of a message's bounds, however the bytes are cut.
func TestFramer(t *testing.T) {
	for _, c := range []struct {
		text    string
		answers bool
		at      int // bytes up to the end of the first message; 0: no end is seen
		odd     bool
	}{
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", false, 41, false},
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nGET", false, 27, false},
		{"\r\nGET / HTTP/1.1\n\nGET", false, 18, false},
		{"POST / HTTP/1.1\r\ncontent-length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET", false, 0, true},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET", false, 0, false},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", false, 0, true},
		{"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", false, 0, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcabc", true, 41, false},
		{"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP", true, 60, false},
		{"HTTP/1.1 204 No Content\r\n\r\nx", true, 27, false},
		{"HTTP/1.1 200 OK\r\n\r\nabc", true, 0, false},
	} {
		for _, cut := range []int{1, 7, len(c.text)} {
			f, at := framer{responses: c.answers}, 0
			odd := false
			for from := 0; from < len(c.text) && !f.ended; from += cut {
				part := c.text[from:min(from+cut, len(c.text))]
				at = from + f.consume([]byte(part))
				odd = odd || f.ambiguous
			}
			assert.Equal(t, c.odd, odd, c.text)
			assert.Equal(t, c.at > 0, f.ended, c.text)
			if f.ended {
				assert.Equal(t, c.at, at, "cut %d: %q", cut, c.text)
			}
		}
	}
}

// exchangeRaw writes raw bytes to the front on a connection of its own and returns all that comes back until it is closed.
func exchangeRaw(t *testing.T, url, text string) string {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	got, _ := io.ReadAll(c)
	return string(got)
}

// Guards against a request hidden in the body of another: neither goes on, and the connection ends. Chunks alone are a
// body like any other, but nothing behind them is read.
func TestHiddenRequest(t *testing.T) {
	ran := make(chan string, 8)
	url, end, done, _ := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		ran <- r.Header.Get("X-Hop-Id") + " " + string(b)
	})
	head := func(id int, lengths string) string {
		return fmt.Sprintf("POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: x\r\nX-Class: path-check\r\nX-Customer: ironbridge-haul\r\nX-Call-Id: %016x\r\n"+
			"X-Patience-Ms: 3000\r\n%s\r\n", id, lengths)
	}
	hidden := "0\r\n\r\n" + head(2, "Content-Length: 0\r\n")
	for _, lengths := range []string{"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 9999\r\n"} {
		got := exchangeRaw(t, url, head(1, lengths)+hidden)
		assert.True(t, strings.HasPrefix(got, "HTTP/1.1 400"), got)
		assert.Equal(t, 1, strings.Count(got, "HTTP/1.1 "), got)
	}
	assert.Empty(t, ran, "one of them went on")
	got := exchangeRaw(t, url, head(3, "Transfer-Encoding: chunked\r\n")+"2\r\nhi\r\n"+hidden)
	assert.True(t, strings.HasPrefix(got, "HTTP/1.1 200"), got)
	assert.Equal(t, "0000000000000003 hi", <-ran)
	assert.Empty(t, ran, "what came behind chunks went on")
	end()
	require.NoError(t, <-done)
}

// Guards usual clients against those that open connections and say nothing: these give way, one with a call in hand
// never does.
func TestQuietConnectionsGiveWay(t *testing.T) {
	came, goOn := make(chan bool), make(chan bool)
	url, end, done, _ := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		came <- true
		<-goOn
	})
	got := make(chan int, 1)
	go func() {
		if resp, _, err := post(t, t.Context(), url, "0000000000000001", "x"); assert.NoError(t, err) {
			got <- resp.StatusCode
		}
	}()
	<-came
	for range 60 { // the front holds 50
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		require.NoError(t, err)
		defer c.Close()
	}
	alone := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := alone.Get(url + "/ping")
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	goOn <- true
	assert.Equal(t, 200, <-got)
	end()
	require.NoError(t, <-done)
}

// Guards the choice of who gives way, without a server's time limits: a full house lets a new connection in at once, and
// the one closed is the longest quiet of those without a call in hand.
func TestWhoGivesWay(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	g := newConnLimiter(ln, 2, discardLog)
	accept := func() *clientConn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		in, err := g.Accept()
		require.NoError(t, err)
		return in.(*clientConn)
	}
	first, second := accept(), accept()
	require.True(t, g.beginRequest(first))
	third := accept()
	assert.False(t, first.closed, "one with a call in hand gave way")
	assert.True(t, second.closed)
	assert.False(t, g.beginRequest(second), "a call was taken on a connection that had given way")
	g.handleConnState(first, http.StateIdle)
	first.lastActivity = first.lastActivity.Add(-time.Hour)
	accept()
	assert.True(t, first.closed)
	assert.False(t, third.closed)
	assert.Len(t, g.conns, 2)
}

// scriptedConn is a connection that brings its bytes in one piece and keeps what is written.
type scriptedConn struct {
	net.Conn
	input, output []byte
}

func (s *scriptedConn) Read(b []byte) (int, error) {
	n := copy(b, s.input)
	s.input = s.input[n:]
	return n, nil
}

func (s *scriptedConn) Write(b []byte) (int, error) {
	s.output = append(s.output, b...)
	return len(b), nil
}

// Guards the next request, whenever http.Transport looks: of bytes behind an answer none is handed on, and nothing more
// is written on their connection.
func TestUnaskedBytesEndAConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	for name, c := range map[string]struct {
		brings string
		again  error
	}{
		"alone":       {answer, nil},
		"second copy": {answer + answer, errUnsolicitedBytes},
		"noise":       {answer + "~", errUnsolicitedBytes},
		"no bounds":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errUnsolicitedBytes},
	} {
		s := &scriptedConn{input: []byte(c.brings)}
		k := &executorConn{Conn: s, framer: framer{responses: true}}
		_, err := k.Write([]byte("GET"))
		require.NoError(t, err)
		b := make([]byte, 4096)
		n, err := k.Read(b)
		require.NoError(t, err)
		if name != "no bounds" {
			assert.Equal(t, answer, string(b[:n]), name)
		}
		_, err = k.Write([]byte("GET"))
		assert.Equal(t, c.again, err, name)
		if c.again != nil {
			assert.Equal(t, "GET", string(s.output), name)
		}
		assert.Equal(t, name != "alone", k.tainted, name)
	}
}

// rawExecutor is an executor that gives its answers as they are, one for each request that is read whole.
func rawExecutor(t *testing.T, answers ...string) (m string, seen func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for rd := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, <-next)
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int { return len(answers) - len(next) }
}

// Guards against an answer that is another request's, or none: what comes behind an answer is never read as the next.
func TestAnswersThatBringTooMuch(t *testing.T) {
	ok := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, c := range map[string]struct {
		first string
		want  balancer.Result
	}{
		"second copy":      {ok("one") + ok("one"), balancer.OK},
		"noise":            {ok("one") + "\x00\xff~", balancer.OK},
		"1xx before":       {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + ok("one"), balancer.OK},
		"1xx without end":  {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000), balancer.Reset},
		"head without end": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 4000), balancer.Reset},
		"3 GB":             {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<16), balancer.Reset},
		"two lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", balancer.Reset},
		"no length":        {"HTTP/1.1 200 OK\r\n\r\none", balancer.Reset},
		"chunks, a copy":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n" + ok("one"), balancer.OK},
		"noise alone":      {"\x00\xff~\r\n\r\n", balancer.Reset},
		"101":              {"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\none", balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			addr, seen := rawExecutor(t, c.first, ok("two"))
			f := NewFleet(testSettings(t), 10)
			defer f.Close()
			ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
			defer done()
			r := f.Send(ctx, attemptTo(endpointAt(addr), "x"))
			assert.Equal(t, c.want, r.Result)
			if c.want == balancer.OK {
				assert.Equal(t, "one", string(r.Body))
			}
			r = f.Send(ctx, attemptTo(endpointAt(addr), "x"))
			assert.Equal(t, "two", string(r.Body))
			assert.Equal(t, 2, seen(), "requests written for two attempts")
		})
	}
}

// Guards the proof that nothing ran: a wait that ended before a connection came up wrote nothing.
func TestOurTimeEndsBeforeAnythingIsWritten(t *testing.T) {
	f := NewFleet(testSettings(t), 1)
	f.socketSlots <- struct{}{}
	assert.Equal(t, balancer.NotSent, f.Send(canceledContext(t), attemptTo(endpointAt("127.0.0.1:1"), "x")).Result)
	assert.Equal(t, balancer.NotSent, classifyFailure(canceledContext(t), true, context.Canceled))
}

// Guards memory on a long day: a Transport made for an executor already forgotten is dropped when unused.
func TestForgottenExecutorsAreDropped(t *testing.T) {
	f := NewFleet(testSettings(t), 1)
	m := endpointAt("127.0.0.1:1")
	for i := range 20 {
		m.ID = balancer.WorkerID(i)
		f.transportsFor(m).lastUsed = time.Now().Add(-2 * unusedTransportsTTL)
	}
	assert.Len(t, f.executors, 1)
}

// Guards the last moment: a request that must not be written any more is not, on a new connection nor on a kept one, and
// what ends so proves that nothing ran.
func TestRefusedTheFirstByte(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	f.reuseDelay = 0 // connections are used again at once
	for _, kept := range []bool{false, true} {
		a := attemptTo(endpointAt(b.addr()), "x")
		if kept {
			require.Equal(t, balancer.OK, f.Send(t.Context(), a).Result)
		}
		before := len(b.requests())
		a.BeforeWrite = func() bool { return false }
		assert.Equal(t, balancer.NotSent, f.Send(t.Context(), a).Result)
		o := oakthread.LoadOrder{Worker: a.Worker, Key: a.Request.Key, Count: 1, BeforeWrite: a.BeforeWrite}
		assert.Equal(t, balancer.NotSent, f.Load(t.Context(), o).Result)
		a.BeforeWrite, a.Request.ID = nil, thirdID
		assert.Equal(t, balancer.OK, f.Send(t.Context(), a).Result)
		assert.Equal(t, []string{thirdID}, b.requests()[before:])
	}
}

// Guards the close of the longest idle connection against a request that begins on it just then: whichever comes first,
// no request is written on a connection that is closed for another's sake.
func TestIdleConnectionsGiveWayOrServe(t *testing.T) {
	b := newRecordingExecutor(t, nil)
	f := NewFleet(testSettings(t), 1)
	defer f.Close()
	m := endpointAt(b.addr())
	require.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, "x")).Result)
	var k *executorConn
	for c := range f.conns {
		k = c
	}
	require.NoError(t, k.beginRequest())
	assert.False(t, k.retire(), "a request has begun on it")
	k.responsePending = false
	require.True(t, k.retire())
	require.ErrorIs(t, k.beginRequest(), errUnsolicitedBytes, "a request would be written on a connection about to be closed")
	require.NoError(t, k.Close())
	require.Equal(t, balancer.OK, f.Send(t.Context(), attemptTo(m, "x")).Result, "another connection serves it")
	assert.Len(t, b.requests(), 2)
}
