package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// fakeDiscovery is a stand-in whose every connection is the test's to speak on.
type fakeDiscovery struct {
	t     *testing.T
	ln    net.Listener
	conns chan fakeWatch
}

type fakeWatch struct {
	net.Conn
	request string
}

func newDiscovery(t *testing.T) *fakeDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &fakeDiscovery{t, ln, make(chan fakeWatch, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			line, _ := bufio.NewReader(c).ReadString('\n')
			d.conns <- fakeWatch{c, strings.TrimSpace(line)}
		}
	}()
	return d
}

func (d *fakeDiscovery) addr() string { return d.ln.Addr().String() }

// nextWatch is the next connection; it must ask for what comes after number n.
func (d *fakeDiscovery) nextWatch(n int) fakeWatch {
	d.t.Helper()
	w := <-d.conns
	require.Equal(d.t, fmt.Sprintf("resume %d", n), w.request)
	return w
}

func (w fakeWatch) send(t *testing.T, text string) {
	_, err := io.WriteString(w, text)
	require.NoError(t, err)
}

func eventLineText(n int, members string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"complete":%v,"members":[%s]}}`+"\n", n, n == 1, members)
}

func memberText(id int, phase string) string {
	return fmt.Sprintf(`{"id":"s-%08x","host_port":"127.0.0.1:4","phase":%q,"size":1}`, id, phase)
}

// startWatch has a channel follow d from number 0.
func startWatch(t *testing.T, d *fakeDiscovery, log io.Writer) (*EndpointWatcher, eventRecorder) {
	c := NewChannel(&Config{Channel: d.addr(), Setup: testSettings(t)}, slog.New(slog.NewTextHandler(log, nil)))
	f := make(eventRecorder, 64)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Follow(ctx, f) }()
	t.Cleanup(func() { stop(); <-done })
	return c, f
}

// Guards against a watch that falls silent, open and without a word: it is given up within channelQuiet, and what came
// meanwhile is told once. One that only beats, with nothing new, is kept.
func TestSilentWatchIsGivenUpAndAQuietOneKept(t *testing.T) {
	d := newDiscovery(t)
	_, f := startWatch(t, d, io.Discard)
	w := d.nextWatch(0)
	w.send(t, eventLineText(1, memberText(1, "Ready")))
	assert.Equal(t, "told 1 of , 1 boxes, whole true", <-f)
	for range 5 { // longer than channelQuiet
		time.Sleep(watchReadTimeout / 4)
		w.send(t, "1\n")
		assert.Equal(t, "current", <-f)
	}
	select {
	case x := <-d.conns:
		t.Fatal("a healthy quiet watch was torn down, then", x.request)
	default:
	}
	began := time.Now() // silent from here on
	w = d.nextWatch(1)
	assert.GreaterOrEqual(t, time.Since(began), watchReadTimeout/2, "given up too soon")
	assert.Equal(t, "lost", <-f)
	w.send(t, eventLineText(2, memberText(2, "Ready"))+"2\n")
	assert.Equal(t, "told 2 of , 1 boxes, whole false", <-f)
	assert.Equal(t, "current", <-f)
}

// Guards events that come in parts, twice or with a gap, and a watch that ends within one.
func TestEventsInPartsTwiceAndWithAGap(t *testing.T) {
	d := newDiscovery(t)
	_, f := startWatch(t, d, io.Discard)
	w, one, two := d.nextWatch(0), eventLineText(1, memberText(1, "Ready")), eventLineText(2, memberText(2, "Ready"))
	w.send(t, one[:25])
	time.Sleep(10 * time.Millisecond) // two reads, as a rule; in one the test still holds
	w.send(t, one[25:]+one+two[:30])
	assert.Equal(t, "told 1 of , 1 boxes, whole true", <-f)
	w.Close() // within an event
	assert.Equal(t, "lost", <-f)
	w = d.nextWatch(1)
	w.send(t, one+two+eventLineText(4, ""))
	assert.Equal(t, "told 2 of , 1 boxes, whole false", <-f)
	assert.Equal(t, "lost", <-f, "number 3 is missing")
	w = d.nextWatch(2)
	w.send(t, eventLineText(3, "")+eventLineText(4, "")+"4\n")
	for _, want := range []string{"told 3 of , 0 boxes, whole false", "told 4 of , 0 boxes, whole false", "current"} {
		assert.Equal(t, want, <-f)
	}
}

// Guards a move of discovery, as SIGHUP brings it, while an event is being read, while connecting again, and back again:
// nothing is lost or told twice.
func TestMoveWithinAnEvent(t *testing.T) {
	a, b := newDiscovery(t), newDiscovery(t)
	c, f := startWatch(t, a, io.Discard)
	w, one, two := a.nextWatch(0), eventLineText(1, memberText(1, "Ready")), eventLineText(2, memberText(2, "Ready"))
	w.send(t, one+two[:30])
	assert.Equal(t, "told 1 of , 1 boxes, whole true", <-f)
	c.Move(b.addr())
	w = b.nextWatch(1)
	w.send(t, two)
	assert.Equal(t, "told 2 of , 1 boxes, whole false", <-f)
	w.Close()
	assert.Equal(t, "lost", <-f)
	c.Move(a.addr()) // it waits or connects to b
	w = a.nextWatch(2)
	w.send(t, "2\n")
	for x := <-f; x != "current"; x = <-f {
		assert.Equal(t, "lost", x)
	}
	c.Move(b.addr())
	c.Move(a.addr()) // back before anybody looked: the later one counts
	for {
		select {
		case w = <-a.conns:
		case w = <-b.conns:
			continue
		}
		break
	}
	assert.Equal(t, "resume 2", w.request)
	w.send(t, eventLineText(3, ""))
	for x := <-f; x != "told 3 of , 0 boxes, whole false"; x = <-f {
		assert.Contains(t, []string{"lost", "current"}, x)
	}
}

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *safeBuffer) String() string { b.mu.Lock(); defer b.mu.Unlock(); return b.Buffer.String() }

// Guards against one bad event that ends all news: an executor that cannot be used is left out or counts as draining, a
// line that cannot be read is asked for once more and then passed over, each with one clear line.
func TestBadEventsEndNoNews(t *testing.T) {
	d, log := newDiscovery(t), &safeBuffer{}
	c := NewChannel(&Config{Channel: d.addr(), Setup: testSettings(t)}, slog.New(slog.NewTextHandler(log, nil)))
	ev, err := parseEvent([]byte(eventLineText(1, memberText(1, "Ready")+","+memberText(2, "Cordoned")+`,{"id":"s-3","phase":"Ready"},{"phase":"Ready"}`)), testSettings(t))
	require.NoError(t, err)
	require.Len(t, ev.Roster.Endpoints, 2)
	assert.Equal(t, balancer.Draining, ev.Roster.Endpoints[1].State)
	assert.Len(t, ev.Invalid, 3)
	f := make(eventRecorder, 64)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Follow(ctx, f) }()
	bad := `{"cursor":2,"nodes":{"members":7}}` + "\n"
	all := eventLineText(1, memberText(1, "Ready")+`,{"id":"s-3","phase":"Ready"}`) + bad
	d.nextWatch(0).send(t, all)
	assert.Equal(t, "told 1 of , 1 boxes, whole true", <-f)
	assert.Equal(t, "lost", <-f)
	w := d.nextWatch(1)
	w.send(t, bad+eventLineText(3, memberText(4, "Ready"))+"3\n")
	assert.Equal(t, "told 3 of , 1 boxes, whole false", <-f)
	assert.Equal(t, "current", <-f)
	stop()
	<-done
	for text, n := range map[string]int{"executor that cannot be used": 1, "passed over": 1, `members[1]: host_port`: 1} {
		assert.Equal(t, n, strings.Count(log.String(), text), log.String())
	}
}
