package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

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
func TestUnsolicitedBytesTaintAConnection(t *testing.T) {
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
func TestExcessResponseBytesReachNoRequest(t *testing.T) {
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

// Found by the soak (seed 123: executors that answer twice, and a burst): a second answer that lies with the kernel, since
// this process has not come to read it, is not read as the answer to the next request.
func TestUnreadSecondResponseTaintsAConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := ln.Accept()
	require.NoError(t, err)
	defer in.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	k := &executorConn{Conn: out, framer: framer{responses: true}}
	_, err = k.Write([]byte("GET"))
	require.NoError(t, err)
	_, err = io.WriteString(in, answer)
	require.NoError(t, err)
	n, err := io.ReadFull(k, make([]byte, len(answer)))
	require.NoError(t, err)
	require.Equal(t, len(answer), n)
	_, err = io.WriteString(in, answer)
	require.NoError(t, err)
	for !hasUnread(out) {
		time.Sleep(time.Millisecond)
	}
	_, err = k.Write([]byte("GET"))
	require.ErrorIs(t, err, errUnsolicitedBytes, "the next request would get the second answer")
}

// Guards against a second answer that comes late, when the next call has been taken by the same box: that call goes on
// another connection, gets its own answer, and the one that brought too much carries nothing more.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	answer := func(c net.Conn, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	var mu sync.Mutex
	var before net.Conn // on which a call has been answered
	conns := 0
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns++
			mu.Unlock()
			go func() {
				defer in.Close()
				for rd := bufio.NewReader(in); ; {
					r, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					if before != nil { // late: the next call is here
						answer(before, "of the call before")
					}
					answer(in, "of "+r.Header.Get("X-Hop-Id"))
					before = in
					mu.Unlock()
				}
			}()
		}
	}()
	f := NewFleet(testSettings(t), 10)
	defer f.Close()
	f.reuseDelay = time.Hour // the machine may be slow
	f.transportsFor(endpointAt(ln.Addr().String())).queued = maxQueuedRequests
	for i := range 5 {
		a := attemptTo(endpointAt(ln.Addr().String()), "x")
		a.Request.ID = fmt.Sprintf("%016x", i)
		ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
		r := f.Send(ctx, a)
		done()
		require.Equal(t, balancer.OK, r.Result)
		assert.Equal(t, "of "+a.Request.ID, string(r.Body))
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 5, conns)
}

// Guards the close of the longest idle connection against a request that begins on it just then: whichever comes first,
// no request is written on a connection that is closed for another's sake.
func TestRetiredConnectionsCarryNoRequest(t *testing.T) {
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
