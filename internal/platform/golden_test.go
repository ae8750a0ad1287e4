package platform

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// The tests in this file compare the bytes written to and read from the platform's sockets with the
// golden files in testdata. Those are written only with -update, which is meant for intended
// changes of the protocol.

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// masks replace values that depend on the clock or on ports. The pattern checks the form of such a
// value.
var masks = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`(?m)^Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT\r$`), "Date: <date>\r"},
	{regexp.MustCompile(`(?m)^Host: 127\.0\.0\.1:\d+\r$`), "Host: <host:port>\r"},
	{regexp.MustCompile(`(?m)^X-Budget: [1-9]\d*\r$`), "X-Budget: <ms>\r"},
}

// matchGolden masks raw bytes and compares them with testdata/name.golden.
func matchGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	for _, mask := range masks {
		got = mask.pattern.ReplaceAll(got, []byte(mask.with))
	}
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), path)
}

// readRaw returns the bytes of one response and any bytes that arrived with it.
func readRaw(t *testing.T, conn net.Conn, method string) []byte {
	t.Helper()
	var raw bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &raw)), &http.Request{Method: method})
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return raw.Bytes()
}

// The responses to each kind of client request match the golden files.
func TestClientResponsesMatchGoldenFiles(t *testing.T) {
	const refused, failed, held = "00000000000000f1", "00000000000000f2", "00000000000000f3"
	const head, ping = "POST /call/7f3a9c21e0b4d655/trigger", "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"
	const length, chunks = "Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for _, c := range []struct {
		name   string
		id     string // of a call of class path-book; "": to is sent as the whole request
		from   string // replaced in the call
		to     string
		change func(*wire.Settings)
	}{
		{name: "served", id: firstID},
		{name: "served-chunked-request", id: firstID, from: length, to: chunks},
		{name: "served-closing", id: firstID, from: "Host: x", to: "Host: x\r\nConnection: close"},
		{name: "refused-with-wait", id: refused},
		{
			name: "refused-with-wait-in-milliseconds", id: refused,
			change: func(s *wire.Settings) { s.Permissions.RetryAfter = true },
		},
		{name: "refused-without-wait", id: refused, change: func(s *wire.Settings) {
			s.Permissions.RetryAfter, s.Permissions.MaxRetryAfter = true, 0
		}},
		{name: "failed", id: failed},
		{name: "timed-out", id: held, from: "Patience-Ms: 4000", to: "Patience-Ms: 500"},
		{name: "duplicate-id", id: held},
		{name: "bad-function", id: firstID, from: "7f3a9c21e0b4d655", to: "odd"},
		{name: "bad-id", id: "odd"},
		{name: "bad-class", id: firstID, from: "path-book", to: "odd"},
		{name: "bad-customer", id: firstID, from: "Host: x", to: "Host: x\r\nX-Customer: odd"},
		{name: "bad-patience", id: firstID, from: "4000", to: "-1"},
		{name: "bad-extras", id: firstID, from: "Host: x", to: "Host: x\r\nX-Extras: lanes:two"},
		{name: "bad-extras-range", id: firstID, from: "Host: x", to: "Host: x\r\nX-Extras: lanes:0"},
		{name: "bad-header-twice", id: firstID, from: "Host: x", to: "Host: x\r\nX-Repeat: 1\r\nX-Repeat: 1"},
		{name: "bad-two-lengths", id: firstID, from: length, to: "Content-Length: 1\r\n" + chunks},
		{name: "bad-request-line", id: firstID, from: head, to: "POST"},
		{
			name: "body-too-long", id: firstID, from: length,
			to: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxRequestBytes+1, strings.Repeat("x", maxRequestBytes+1)),
		},
		{name: "unknown-path", id: firstID, from: "/trigger", to: "/odd"},
		{name: "wrong-method", id: firstID, from: "POST", to: "PUT"},
		{name: "ping-ready", to: ping},
		{name: "ping-not-ready", to: ping},
		{name: "ping-head", to: strings.Replace(ping, "GET", "HEAD", 1)},
		{name: "ping-wrong-method", to: strings.Replace(ping, "GET", "DELETE", 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			arrived, release := make(chan bool, 1), make(chan bool)
			executor := newRecordingExecutor(t, func(w http.ResponseWriter, r *http.Request) {
				switch r.Header.Get("X-Hop-Id") {
				case refused:
					w.Header().Set("X-No-Effect", "1")
					w.WriteHeader(http.StatusGatewayTimeout)
				case failed:
					w.WriteHeader(http.StatusInternalServerError)
				case held:
					arrived <- true
					select {
					case <-release:
					case <-r.Context().Done():
					}
				}
				_, _ = io.WriteString(w, "a\x00b\r\n\xff")
			})
			s := newTestbed(t, testbedOptions{settings: c.change}, executor)
			if c.name == "ping-not-ready" {
				s.server.ReadinessGate = func() bool { return false }
			}
			request := c.to
			if c.id != "" {
				request = strings.Replace(callText(c.id, "path-book", "x"), c.from, c.to, 1)
			}
			conn := s.dial()
			if c.name == "duplicate-id" {
				before := s.send(c.id, "path-book")
				<-arrived
				s.write(conn, request)
				matchGolden(t, "answer-"+c.name, readRaw(t, conn, "POST"))
				close(release)
				assert.Equal(t, http.StatusOK, s.readStatus(before))
			} else {
				s.write(conn, request)
				method, _, _ := strings.Cut(request, " ")
				matchGolden(t, "answer-"+c.name, readRaw(t, conn, method))
			}
			s.close()
		})
	}
}

// newRawRecorder starts an executor that sends the raw bytes of each request on the returned
// channel and then writes the next response; it repeats the last one.
func newRawRecorder(t *testing.T, responses ...string) (*recordingExecutor, <-chan []byte) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	requests, next := make(chan []byte, 16), make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		var raw bytes.Buffer
		for reader := bufio.NewReader(io.TeeReader(conn, &raw)); ; raw.Reset() {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests <- bytes.Clone(raw.Bytes())
			response := responses[len(responses)-1]
			select {
			case response = <-next:
			default:
			}
			if _, err := io.WriteString(conn, response); err != nil || !strings.Contains(response, "Length") {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &recordingExecutor{Server: &httptest.Server{Listener: ln}}, requests
}

// plainOK is an empty 200.
const plainOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestAttemptsMatchGoldenFiles sends calls on a client's socket and compares the attempts on the
// executor's socket with the golden files.
func TestAttemptsMatchGoldenFiles(t *testing.T) {
	addKeyed := func(settings *wire.Settings) {
		category := settings.Categories[0]
		category.Name, category.Idempotency, category.KeyScope = "path pay/1", "idempotency_key", "all"
		settings.Categories = append(settings.Categories, category)
		settings.Specifics.LoadControl = false // so that only attempts are written
	}
	noEffect := "HTTP/1.1 504 Gateway Timeout\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, class, body, header string
		responses                 []string
	}{
		{name: "read-like", class: "path-check", body: "a\x00b\r\n\xff"},
		{name: "non-idempotent", class: "path-book", body: "x"},
		{name: "without-body", class: "path-book"},
		{name: "keyed", class: "path pay/1", body: "x", header: "X-Dedupe-Key: 3f:a b;c"},
		{name: "keyed-without-key", class: "path pay/1", body: "x"},
		{name: "repeat", class: "path pay/1", body: "x", header: "X-Dedupe-Key: k1\r\nX-Repeat: 1"},
		{
			name: "all-headers", class: "path-book", body: "x",
			header: "X-Customer: ironbridge-haul\r\nX-Extras: memory_mb:512;lanes:2;load_ms:640\r\nX-Other: 1",
		},
		{name: "second", class: "path-check", body: "x", responses: []string{noEffect, plainOK}},
	} {
		t.Run(c.name, func(t *testing.T) {
			executor, requests := newRawRecorder(t, append(c.responses, plainOK)...)
			s := newTestbed(t, testbedOptions{settings: addKeyed}, executor)
			conn := s.dial()
			request := callText("9b1f03aa5c7e2d41", c.class, c.body)
			if c.header != "" {
				request = strings.Replace(request, "Host: x", "Host: x\r\n"+c.header, 1)
			}
			s.write(conn, strings.Replace(request, "7f3a", "7F3a", 1)) // the case of the function's key is preserved
			assert.Equal(t, http.StatusOK, s.readStatus(conn))
			if len(c.responses) > 0 {
				matchGolden(t, "attempt-"+c.name+"-before", <-requests)
			}
			matchGolden(t, "attempt-"+c.name, <-requests)
			assert.Empty(t, requests, "further requests were written")
			s.close()
		})
	}
}

// The requests for load orders and health checks match the golden files.
func TestLoadOrdersAndHealthChecksMatchGoldenFiles(t *testing.T) {
	for name, do := range map[string]func(context.Context, *ExecutorPool, oakthread.LoadOrder){
		"load": func(ctx context.Context, pool *ExecutorPool, order oakthread.LoadOrder) { pool.Load(ctx, order) },
		"drop": func(ctx context.Context, pool *ExecutorPool, order oakthread.LoadOrder) { pool.Unload(ctx, order) },
		"probe": func(ctx context.Context, pool *ExecutorPool, order oakthread.LoadOrder) {
			pool.HealthCheck(ctx, order.Worker)
		},
	} {
		t.Run(name, func(t *testing.T) {
			executor, requests := newRawRecorder(t, plainOK)
			pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
			defer pool.Close()
			order := oakthread.LoadOrder{Worker: endpointAt(executor.addr()), Key: "7F3a9c21e0b4d655", Count: 2}
			do(t.Context(), pool, order)
			matchGolden(t, name, <-requests)
		})
	}
}

// Each kind of executor response is parsed.
func TestExecutorResponsesAreParsed(t *testing.T) {
	const send, load, probe = "send", "load", "probe"
	type reply = oakthread.Reply
	report, none, body := []float64{7, 0.61}, []byte{}, []byte("a\x00\r\n")
	for _, c := range []struct {
		by, status, headers, body string
		want                      reply
	}{
		{
			send, "200 OK", "X-Tell: hit\r\nX-Same: 3\r\nX-Report: queue:7;util:0.61", "a\x00\r\n",
			reply{Result: balancer.OK, Warmth: balancer.WarmHit, ConcurrentRequests: 3, Report: report, Body: body},
		},
		{
			send, "200 OK", "X-Tell: spawn\r\nX-Report: cpu:0.61;waiting:7;active:2", "",
			reply{Result: balancer.OK, Warmth: balancer.BeganLoad, Report: report, Body: none},
		},
		{
			send, "200 OK", "X-Tell: pending\r\nX-Report: queue:7", "",
			reply{Result: balancer.OK, Warmth: balancer.AwaitedLoad, Body: none},
		},
		{
			send, "200 OK", "X-Same: 99\r\nX-N: 2\r\nX-Tell: odd", "",
			reply{Result: balancer.OK, ConcurrentRequests: 30, Copies: 2, Body: none},
		},
		{send, "200 OK", "X-No-Effect: 1", "", reply{Result: balancer.OK, Body: none}},
		{
			send, "404 Not Found", "X-Report: queue:7;util:0.61", "gone",
			reply{Result: balancer.NotLoaded, Report: report},
		},
		{
			send, "404 Not Found", "X-Tell: spawn_failed", "",
			reply{Result: balancer.NotLoaded, Warmth: balancer.LoadFailed},
		},
		{send, "503 Full", "X-No-Effect: 1\r\nX-Same: 4", "", reply{Result: balancer.QueueFull, ConcurrentRequests: 4}},
		{send, "503 Full", "", "", reply{Result: balancer.Error}},
		{send, "504 Late", "X-No-Effect: 1", "", reply{Result: balancer.NotSent}},
		{send, "504 Late", "X-No-Effect: true", "", reply{Result: balancer.Error}},
		{send, "500 Broken", "X-Tell: spawn_failed", "", reply{Result: balancer.Error, Warmth: balancer.LoadFailed}},
		{send, "429 Many", "X-No-Effect: 1", "", reply{Result: balancer.Error}},
		{send, "201 Created", "", "x", reply{Result: balancer.Error}},
		{
			load, "200 OK", "X-N: 2\r\nX-Tell: spawn", "x",
			reply{Result: balancer.OK, Warmth: balancer.BeganLoad, Copies: 2},
		},
		{load, "200 OK", "X-N: 0", "", reply{Result: balancer.OK}},
		{load, "500 Broken", "X-Tell: spawn_failed", "", reply{Result: balancer.Error, Warmth: balancer.LoadFailed}},
		{load, "503 Full", "X-No-Effect: 1\r\nX-N: 1", "", reply{Result: balancer.QueueFull, Copies: 1}},
		{probe, "200 OK", "X-Report: queue:7;util:0.61", "x", reply{Result: balancer.OK, Report: report}},
		{probe, "503 Drains", "X-No-Effect: 1", "", reply{Result: balancer.Error, Draining: true}},
		{probe, "404 Not Found", "", "", reply{Result: balancer.Error}},
	} {
		t.Run(c.by+" "+c.status+" "+c.headers, func(t *testing.T) {
			length := fmt.Sprintf("Content-Length: %d", len(c.body))
			if c.headers != "" {
				length += "\r\n" + c.headers
			}
			executor, _ := newRawRecorder(t, "HTTP/1.1 "+c.status+"\r\n"+length+"\r\n\r\n"+c.body)
			pool := NewExecutorPool(testSettings(t), testClasses(t), 10)
			defer pool.Close()
			endpoint, got := endpointAt(executor.addr()), reply{}
			switch c.by {
			case send:
				attempt := attemptTo(endpoint, "x")
				attempt.Deadline = time.Now().Add(10 * time.Second)
				got = pool.Send(t.Context(), attempt)
			case load:
				got = pool.Load(t.Context(), oakthread.LoadOrder{Worker: endpoint, Key: "7F3a9c21e0b4d655", Count: 2})
			case probe:
				got = pool.HealthCheck(t.Context(), endpoint)
			}
			assert.Equal(t, c.want, got)
		})
	}
}
