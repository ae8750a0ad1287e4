package h2

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var discardLog = slog.New(slog.DiscardHandler)

// startServer serves a handler, whose streams get 20 s in the drain. end starts the drain and returns
// the channel that gets Serve's result.
func startServer(t *testing.T, handler http.Handler, options Options) (addr string, end func() <-chan error) {
	t.Helper()
	drain := Drain{
		Linger:   time.Millisecond,
		Deadline: func() time.Time { return time.Now().Add(20 * time.Second) },
	}
	return startDrainedServer(t, handler, options, drain)
}

// startDrainedServer is startServer with a drain of the caller's.
func startDrainedServer(
	t *testing.T, handler http.Handler, options Options, drain Drain,
) (addr string, end func() <-chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, ln, handler, options, drain, discardLog) }()
	return ln.Addr().String(), func() <-chan error { stop(); return done }
}

// newClient returns a client that speaks HTTP/2 with prior knowledge.
func newClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

// getStatus requests a URL and returns the status of the response.
func getStatus(client *http.Client, url string) (int, error) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// Many streams share one connection. A drain answers all streams that were accepted before, and
// accepts no new connection.
func TestDrainAnswersAcceptedStreams(t *testing.T) {
	const calls = 40
	arrived, release, conns := make(chan bool, calls), make(chan bool), make(chan string, calls)
	addr, end := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns <- r.RemoteAddr + r.Proto
		arrived <- true
		<-release
		_, _ = io.Copy(w, r.Body)
	}), Options{})
	client := newClient()
	got := make(chan string, calls)
	for i := range calls {
		go func() {
			resp, err := client.Post("http://"+addr+"/call", "", bytes.NewReader([]byte(fmt.Sprint("slot ", i))))
			if err != nil {
				got <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			got <- string(body)
		}()
	}
	for range calls {
		<-arrived
	}
	first := <-conns
	assert.Contains(t, first, "HTTP/2.0")
	for range calls - 1 {
		assert.Equal(t, first, <-conns, "one connection")
	}
	done := end()
	for { // until the listener is closed, which is the first step of Shutdown
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		conn.Close()
	}
	close(release)
	seen := map[string]bool{}
	for range calls {
		seen[<-got] = true
	}
	for i := range calls {
		assert.True(t, seen[fmt.Sprint("slot ", i)], i)
	}
	require.NoError(t, <-done)
	_, err := getStatus(newClient(), "http://"+addr+"/call")
	require.Error(t, err, "no new request is accepted")
}

// Guards against streams that a drain cuts off because its time was set at the start, before a reload
// lengthened it.
func TestDrainDeadlineIsThatOfTheShutdown(t *testing.T) {
	deadline, asked := time.Now(), make(chan bool, 1)
	drain := Drain{Linger: time.Millisecond, Deadline: func() time.Time { asked <- true; return deadline }}
	arrived, release := make(chan bool), make(chan bool)
	addr, end := startDrainedServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-release
	}), Options{}, drain)
	status := make(chan int, 1)
	go func() {
		got, _ := getStatus(newClient(), "http://"+addr+"/call")
		status <- got
	}()
	<-arrived
	deadline = time.Now().Add(20 * time.Second)
	done := end()
	<-asked
	close(release)
	assert.Equal(t, 200, <-status)
	require.NoError(t, <-done)
}

// Resetting a stream cancels its request and does not affect other streams of the connection.
func TestResetCancelsOnlyItsRequest(t *testing.T) {
	arrived, cancelled, release := make(chan string, 2), make(chan bool), make(chan bool)
	addr, end := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		if r.URL.Path == "/cancelled" {
			<-r.Context().Done()
			close(cancelled)
			return
		}
		<-release
	}), Options{})
	client := newClient()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/cancelled", nil)
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	completed := make(chan int, 1)
	go func() {
		if status, err := getStatus(client, "http://"+addr+"/completed"); assert.NoError(t, err) {
			completed <- status
		}
	}()
	<-arrived
	<-arrived
	cancel()
	<-cancelled
	close(release)
	assert.Equal(t, 200, <-completed)
	client.CloseIdleConnections()
	require.NoError(t, <-end())
}

// Connections that send HTTP/1.1, an upgrade request or an incomplete preface are closed without
// reaching the handler.
func TestOtherProtocolsReachNoHandler(t *testing.T) {
	seen := make(chan bool, 8)
	addr, end := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen <- true }), Options{})
	for _, text := range []string{
		"GET /call HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n" +
			"HTTP2-Settings: AAMAAABk\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM",
	} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		// The server may have closed the connection first.
		if err := conn.(*net.TCPConn).CloseWrite(); !errors.Is(err, syscall.ENOTCONN) {
			require.NoError(t, err)
		}
		response, _ := io.ReadAll(conn) // returns once the server has closed
		assert.NotContains(t, string(response), "200 OK")
		conn.Close()
	}
	assert.Empty(t, seen)
	require.NoError(t, <-end())
}
