package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/endpoints"
)

// On a new connection a watch resumes after the last event, and handles no event twice.
func TestWatchResumesAfterTheLastEvent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	event := func(cursor int) string {
		return fmt.Sprintf(`{"cursor":%d,"nodes":{"complete":false,"members":[]}}`+"\n", cursor)
	}
	requests := make(chan string, 8)
	go func() {
		for _, text := range []string{
			event(3) + event(4) + "4\nnot json\n", event(4) + "6\n",
			event(5) + event(7), event(6) + strings.TrimSpace(event(7)), event(9),
		} {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			line, _ := bufio.NewReader(conn).ReadString('\n')
			requests <- line
			_, _ = io.WriteString(conn, text)
		}
	}()
	var mu sync.Mutex
	updates := 0
	ctx, stop := context.WithCancel(t.Context())
	watcher := NewEndpointWatcher(&Config{
		Channel: ln.Addr().String(), Cursor: 3, Settings: testSettings(t), InitialEvents: []Event{{Cursor: 3}},
	}, discardLog)
	err = watcher.Watch(ctx, func(oakthread.EndpointUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if updates++; updates == 5 { // the initial event, 4, 5, 6, and then 9
			stop()
		}
	})
	require.ErrorIs(t, err, context.Canceled)
	var got []string
	for range 5 {
		got = append(got, <-requests)
	}
	assert.Equal(t, []string{"resume 3\n", "resume 4\n", "resume 4\n", "resume 5\n", "resume 6\n"}, got)
	assert.Equal(t, int64(9), watcher.cursor)
}

// eventRecorder is an EndpointHandler that sends a description of each event it handles.
type eventRecorder chan string

func (r eventRecorder) HandleUpdate(update oakthread.EndpointUpdate, epoch string, cursor int64) {
	r <- fmt.Sprintf("update %d of %s, %d endpoints, complete %v",
		cursor, epoch, len(update.Endpoints), update.Kind == balancer.EndpointsSnapshot)
}

func (r eventRecorder) HandleHeartbeat() { r <- "current" }

func (r eventRecorder) HandleWatchLost() { r <- "lost" }

func (r eventRecorder) HandleWatchReset() { r <- "restarted" }

// The watch of a stored list resumes after the last event of the list. If discovery is at a lower
// event number or in another epoch, it has restarted and is read from its first event. Several
// addresses are tried in turn.
func TestWatchOfAStoredList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	snapshot := func(cursor int, epoch string) string {
		return fmt.Sprintf(`{"cursor":%d,"epoch":%q,"nodes":{"complete":true,"members":[`+
			`{"id":"s-1","host_port":"127.0.0.1:4","phase":"Ready"}]}}`+"\n", cursor, epoch)
	}
	var requests []string
	go func() {
		for _, text := range []string{
			"41\n40\n", snapshot(1, "e2") + "1\n", `{"cursor":1,"epoch":"e3"}` + "\n",
			snapshot(1, "e3") + snapshot(2, "e3") + "2\n",
		} {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			requests = append(requests, strings.TrimSpace(line))
			_, _ = io.WriteString(conn, text)
			if !strings.HasSuffix(text, "2\n") {
				conn.Close()
			} else {
				defer conn.Close()
			}
		}
	}()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused.Close()
	watcher := NewEndpointWatcher(&Config{Settings: testSettings(t)}, discardLog)
	watcher.ResumeFrom(41, "e1", endpoints.NewDialer([]string{refused.Addr().String(), ln.Addr().String()}, 1))
	events, got := make(eventRecorder, 64), []string{}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- watcher.Follow(ctx, events) }()
	for len(got) == 0 || !strings.HasPrefix(got[len(got)-1], "current") || len(got) < 8 {
		if event := <-events; event != "lost" { // their number depends on which address is tried first
			got = append(got, event)
		}
	}
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, []string{
		"current", "restarted", "update 1 of e2, 1 endpoints, complete true", "current", "restarted",
		"update 1 of e3, 1 endpoints, complete true", "update 2 of e3, 1 endpoints, complete true", "current",
	}, got)
	assert.Equal(t, []string{"resume 41", "resume 0", "resume 1", "resume 0"}, requests)
}

// Dispatchers that lose the connection to discovery at the same time do not reconnect at the same
// time, and none waits longer than maxWatchRetryDelay.
func TestReconnectsAreSpread(t *testing.T) {
	bySlot := map[time.Duration]int{}
	for seed := range uint64(80) {
		config := &Config{Channel: "127.0.0.1:4", Seed: seed, Settings: testSettings(t)}
		watcher := NewEndpointWatcher(config, discardLog)
		_, delay := watcher.dialer.Next()
		require.Zero(t, delay, "the first connection is made at once")
		for range 12 {
			watcher.dialer.Failed()
			_, delay = watcher.dialer.Next()
			require.LessOrEqual(t, delay, maxWatchRetryDelay)
		}
		bySlot[delay/(maxWatchRetryDelay/8)]++
		watcher.setAddress("127.0.0.1:5")
		addr, delay := watcher.dialer.Next()
		assert.Equal(t, "127.0.0.1:5", addr)
		assert.Zero(t, delay, "a move is followed at once")
	}
	for slot, watchers := range bySlot {
		assert.LessOrEqual(t, watchers, 24, "in the eighth %d of the delay", slot)
	}
}
