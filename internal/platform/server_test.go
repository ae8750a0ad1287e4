package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// notify is a log that tells of each line.
type notify chan string

func (n notify) Write(b []byte) (int, error) {
	n <- string(b)
	return len(b), nil
}

// serve starts a front on a socket over one executor; end asks it to stop.
func serve(t *testing.T, linger time.Duration, lines notify, executor http.HandlerFunc) (url string, end func(), done chan error, front *Server) {
	ex := httptest.NewServer(executor)
	t.Cleanup(ex.Close)
	fleet := NewFleet(testSettings(t), 50)
	core, err := oakthread.New(oakthread.Config{Settings: testSettings(t).Decide(), Workers: fleet})
	require.NoError(t, err)
	t.Cleanup(core.Close)
	front = NewFront(core, testSettings(t))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, end := context.WithCancel(t.Context())
	done = make(chan error, 1)
	go func() {
		done <- front.Serve(ctx, ln, 50, linger, 5*time.Second, slog.New(slog.NewTextHandler(lines, nil)))
	}()
	url = "http://" + ln.Addr().String()
	resp, err := http.Get(url + "/ping")
	require.NoError(t, err)
	assert.Equal(t, 503, resp.StatusCode, "ready before a list was loaded")
	core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{endpointAt(ex.Listener.Addr().String())}})
	core.Counters()
	resp, err = http.Get(url + "/ping")
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	return url, end, done, front
}

func post(t *testing.T, ctx context.Context, url, id string, body string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/call/7f3a9c21e0b4d655/trigger", strings.NewReader(body))
	require.NoError(t, err)
	req.Header = http.Header{"X-Class": {"path-book"}, "X-Call-Id": {id}, "X-Patience-Ms": {"3000"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards the whole path: the answer is the executor's; what is malformed is a 4xx, counted, and harms nothing; a
// refusal comes at once and says when to come back, in milliseconds only where the settings allow.
func TestFrontAnswers(t *testing.T) {
	url, end, done, front := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hop-Id") == "00000000000000ff" {
			w.Header().Set("X-No-Effect", "1")
			w.WriteHeader(504)
		}
		_, _ = io.Copy(w, r.Body)
	})
	resp, body, err := post(t, t.Context(), url, "0000000000000001", "a\x00b")
	require.NoError(t, err)
	assert.Equal(t, "200 a\x00b", fmt.Sprint(resp.StatusCode, " ", body))
	resp, _, err = post(t, t.Context(), url, "00000000000000ff", "x")
	require.NoError(t, err)
	assert.Equal(t, 503, resp.StatusCode)
	assert.Equal(t, "2", resp.Header.Get("Retry-After"), "1.5 s, rounded up")
	assert.Empty(t, resp.Header.Get("X-Come-Back-Ms"))
	resp, _, err = post(t, t.Context(), url, "odd", "x")
	require.NoError(t, err)
	assert.Equal(t, 400, resp.StatusCode)
	resp, _, err = post(t, t.Context(), url, "0000000000000002", strings.Repeat("x", maxRequestBytes+1))
	require.NoError(t, err)
	assert.Equal(t, 413, resp.StatusCode)
	resp, err = http.Get(url + "/call/x/trigger")
	require.NoError(t, err)
	assert.Equal(t, 405, resp.StatusCode)
	assert.Equal(t, int64(3), front.Bad())
	end()
	require.NoError(t, <-done)
}

// Guards what was taken over a planned end: calls that come while clients have not heard are served, each taken
// call is answered, and only then does the server end.
func TestEndAnswersAllTaken(t *testing.T) {
	came, goOn := make(chan bool, 2), make(chan bool)
	lines := make(notify, 8)
	url, end, done, _ := serve(t, 3*time.Second, lines, func(w http.ResponseWriter, r *http.Request) { came <- true; <-goOn })
	got := make(chan int, 2)
	call := func(id string) {
		resp, _, err := post(t, t.Context(), url, id, "x")
		if assert.NoError(t, err) {
			got <- resp.StatusCode
		}
	}
	go call("0000000000000001")
	<-came
	end()
	assert.Contains(t, <-lines, "ending: still taking calls")
	go call("0000000000000002")
	<-came
	select {
	case err := <-done:
		t.Fatal("ended with calls open", err)
	default:
	}
	close(goOn)
	assert.Equal(t, []int{200, 200}, []int{<-got, <-got})
	require.NoError(t, <-done)
}

// Guards against work for clients that left: the executor sees its connection closed.
func TestClientLeaves(t *testing.T) {
	came, left := make(chan bool, 1), make(chan bool, 1)
	url, end, done, _ := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		came <- true
		<-r.Context().Done()
		left <- true
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-came; leave() }()
	_, _, err := post(t, ctx, url, "0000000000000001", "x")
	require.ErrorIs(t, err, context.Canceled)
	<-left
	end()
	require.NoError(t, <-done)
}

// Guards out of service: readiness says no while the gate is shut, an idle kept connection is closed, an answer in
// hand still comes whole and ends its connection, and counts go by class; back in service, it says yes again.
func TestOutOfService(t *testing.T) {
	url, end, done, front := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	var out atomic.Bool
	front.Gate = func() bool { return !out.Load() }
	host := strings.TrimPrefix(url, "http://")
	idle, err := net.Dial("tcp", host)
	require.NoError(t, err)
	defer idle.Close()
	_, err = idle.Write([]byte("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	rd := bufio.NewReader(idle)
	resp, err := http.ReadResponse(rd, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	require.Equal(t, 200, resp.StatusCode)

	ping := func() int {
		resp, err := http.Get(url + "/ping")
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	out.Store(true)
	front.SetKeepAlives(false)
	assert.Equal(t, 503, ping())
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = rd.ReadByte()
	assert.Error(t, err, "the idle connection is closed")
	resp, body, err := post(t, t.Context(), url, "0000000000000001", "kept")
	require.NoError(t, err)
	assert.Equal(t, "200 kept", fmt.Sprint(resp.StatusCode, " ", body))
	assert.True(t, resp.Close, "the connection ends after its answer")

	out.Store(false)
	front.SetKeepAlives(true)
	assert.Equal(t, 200, ping())
	counts := map[string]int64{}
	front.Tally(func(class string, o *Outcomes) { counts[class] = o.Completed.Load() })
	assert.Equal(t, map[string]int64{"path-book": 1}, counts)
	assert.Zero(t, front.Pending())
	end()
	require.NoError(t, <-done)
}
