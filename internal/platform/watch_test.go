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

// Guards against lost or doubled news over a broken channel: it resumes after the last event and skips known ones.
func TestChannelResumes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	event := func(n int) string {
		return fmt.Sprintf(`{"cursor":%d,"nodes":{"complete":false,"members":[]}}`+"\n", n)
	}
	asked := make(chan string, 8)
	go func() {
		for _, say := range []string{
			event(3) + event(4) + "4\nnot json\n", event(4) + "6\n",
			event(5) + event(7), event(6) + strings.TrimSpace(event(7)), event(9),
		} {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			asked <- line
			_, _ = io.WriteString(c, say)
			defer c.Close()
		}
	}()
	var mu sync.Mutex
	told := 0
	ctx, stop := context.WithCancel(t.Context())
	c := NewChannel(&Config{Channel: ln.Addr().String(), Cursor: 3, Setup: testSettings(t), Known: []Event{{Cursor: 3}}}, discardLog)
	err = c.Watch(ctx, func(oakthread.EndpointUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if told++; told == 5 { // the known one, 4, 5, 6, and 9 as the next
			stop()
		}
	})
	require.ErrorIs(t, err, context.Canceled)
	var got []string
	for range 5 {
		got = append(got, <-asked)
	}
	assert.Equal(t, []string{"resume 3\n", "resume 4\n", "resume 4\n", "resume 5\n", "resume 6\n"}, got)
	assert.Equal(t, int64(9), c.cursor)
}

// eventRecorder writes down what a channel tells.
type eventRecorder chan string

func (f eventRecorder) Told(r oakthread.EndpointUpdate, epoch string, cursor int64) {
	f <- fmt.Sprintf("told %d of %s, %d boxes, whole %v", cursor, epoch, len(r.Endpoints), r.Kind == balancer.EndpointsSnapshot)
}

func (f eventRecorder) Current() { f <- "current" }

func (f eventRecorder) Lost() { f <- "lost" }

func (f eventRecorder) StartedOver() { f <- "started over" }

// Guards a kept list's numbering: it goes on from its own number; a discovery with a lower one, or of another epoch, is
// read from the first event, whole; several addresses are asked in turn.
func TestChannelOfAKeptList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	whole := func(n int, epoch string) string {
		return fmt.Sprintf(`{"cursor":%d,"epoch":%q,"nodes":{"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:4","phase":"Ready"}]}}`+"\n", n, epoch)
	}
	var asked []string
	go func() {
		for _, say := range []string{"41\n40\n", whole(1, "e2") + "1\n", `{"cursor":1,"epoch":"e3"}` + "\n", whole(1, "e3") + whole(2, "e3") + "2\n"} {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			asked = append(asked, strings.TrimSpace(line))
			_, _ = io.WriteString(c, say)
			if !strings.HasSuffix(say, "2\n") {
				c.Close()
			} else {
				defer c.Close()
			}
		}
	}()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused.Close()
	c := NewChannel(&Config{Setup: testSettings(t)}, discardLog)
	c.Keep(41, "e1", endpoints.NewDialer([]string{refused.Addr().String(), ln.Addr().String()}, 1))
	f, got := make(eventRecorder, 64), []string{}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Follow(ctx, f) }()
	for len(got) == 0 || !strings.HasPrefix(got[len(got)-1], "current") || len(got) < 8 {
		if x := <-f; x != "lost" { // how often depends on which address came first
			got = append(got, x)
		}
	}
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, []string{
		"current", "started over", "told 1 of e2, 1 boxes, whole true", "current", "started over",
		"told 1 of e3, 1 boxes, whole true", "told 2 of e3, 1 boxes, whole true", "current",
	}, got)
	assert.Equal(t, []string{"resume 41", "resume 0", "resume 1", "resume 0"}, asked)
}

// Guards against a herd at discovery: dispatchers that lost it together do not come back together, and none waits for
// longer than what is told may be late.
func TestChannelsComeBackOneByOne(t *testing.T) {
	slots := map[time.Duration]int{}
	for seed := range uint64(80) {
		c := NewChannel(&Config{Channel: "127.0.0.1:4", Seed: seed, Setup: testSettings(t)}, discardLog)
		_, wait := c.dialer.Next()
		require.Zero(t, wait, "the first connection is made at once")
		for range 12 {
			c.dialer.Failed()
			_, wait = c.dialer.Next()
			require.LessOrEqual(t, wait, maxWatchRetryDelay)
		}
		slots[wait/(maxWatchRetryDelay/8)]++
		c.setAddress("127.0.0.1:5")
		addr, wait := c.dialer.Next()
		assert.Equal(t, "127.0.0.1:5", addr)
		assert.Zero(t, wait, "a move is followed at once")
	}
	for slot, n := range slots {
		assert.LessOrEqual(t, n, 24, "in the eighth %d of the wait", slot)
	}
}
