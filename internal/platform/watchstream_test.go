package platform

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/balancer"
)

// A connection on which nothing arrives is closed after watchReadTimeout, and events that occurred
// meanwhile are handled once. One on which only heartbeats arrive is kept.
func TestSilentWatchReconnectsAndIdleWatchStays(t *testing.T) {
	discovery := newDiscovery(t)
	_, events := startWatch(t, discovery, io.Discard)
	watch := discovery.nextWatch(0)
	watch.send(t, eventLineText(1, memberText(1, "Ready")))
	assert.Equal(t, "update 1 of , 1 endpoints, complete true", <-events)
	bare, object := "1\n", "{\"cursor\":1}\n"
	for _, heartbeat := range []string{bare, object, bare, object, bare} { // longer than watchReadTimeout
		time.Sleep(watchReadTimeout / 4)
		watch.send(t, heartbeat)
		assert.Equal(t, "current", <-events)
	}
	select {
	case watch := <-discovery.conns:
		t.Fatal("a healthy idle connection was closed, then", watch.request)
	default:
	}
	began := time.Now() // silent from here on
	watch = discovery.nextWatch(1)
	assert.GreaterOrEqual(t, time.Since(began), watchReadTimeout/2, "closed too early")
	assert.Equal(t, "lost", <-events)
	watch.send(t, eventLineText(2, memberText(2, "Ready"))+"2\n")
	assert.Equal(t, "update 2 of , 1 endpoints, complete false", <-events)
	assert.Equal(t, "current", <-events)
}

// Events that arrive in parts, twice, with a gap or truncated are each handled once and in order.
func TestPartialRepeatedAndMissingEvents(t *testing.T) {
	discovery := newDiscovery(t)
	_, events := startWatch(t, discovery, io.Discard)
	one, two := eventLineText(1, memberText(1, "Ready")), eventLineText(2, memberText(2, "Ready"))
	watch := discovery.nextWatch(0)
	watch.send(t, one[:25])
	time.Sleep(10 * time.Millisecond) // usually makes two reads; the test passes with one as well
	watch.send(t, one[25:]+one+two[:30])
	assert.Equal(t, "update 1 of , 1 endpoints, complete true", <-events)
	watch.Close() // within an event
	assert.Equal(t, "lost", <-events)
	watch = discovery.nextWatch(1)
	watch.send(t, one+two+eventLineText(4, ""))
	assert.Equal(t, "update 2 of , 1 endpoints, complete false", <-events)
	assert.Equal(t, "lost", <-events, "number 3 is missing")
	watch = discovery.nextWatch(2)
	watch.send(t, eventLineText(3, "")+eventLineText(4, "")+"4\n")
	for _, want := range []string{
		"update 3 of , 0 endpoints, complete false", "update 4 of , 0 endpoints, complete false", "current",
	} {
		assert.Equal(t, want, <-events)
	}
}

// A move of the watch, as on SIGHUP, neither loses nor repeats an event: not within an event, nor
// while reconnecting, nor on a move back.
func TestMoveLosesAndRepeatsNoEvent(t *testing.T) {
	first, second := newDiscovery(t), newDiscovery(t)
	watcher, events := startWatch(t, first, io.Discard)
	one, two := eventLineText(1, memberText(1, "Ready")), eventLineText(2, memberText(2, "Ready"))
	watch := first.nextWatch(0)
	watch.send(t, one+two[:30])
	assert.Equal(t, "update 1 of , 1 endpoints, complete true", <-events)
	watcher.Move(second.addr())
	watch = second.nextWatch(1)
	watch.send(t, two)
	assert.Equal(t, "update 2 of , 1 endpoints, complete false", <-events)
	watch.Close()
	assert.Equal(t, "lost", <-events)
	watcher.Move(first.addr()) // while it waits or connects to the second
	watch = first.nextWatch(2)
	watch.send(t, "2\n")
	for event := <-events; event != "current"; event = <-events {
		assert.Equal(t, "lost", event)
	}
	watcher.Move(second.addr())
	watcher.Move(first.addr()) // at once: it replaces the first move
	for found := false; !found; {
		select {
		case watch = <-first.conns:
			found = true
		case <-second.conns:
		}
	}
	assert.Equal(t, "resume 2", watch.request)
	watch.send(t, eventLineText(3, ""))
	for event := <-events; event != "update 3 of , 0 endpoints, complete false"; event = <-events {
		assert.Contains(t, []string{"lost", "current"}, event)
	}
}

// Invalid events do not end the watch: an unusable executor is skipped or treated as draining, and
// a line that cannot be parsed is requested once more and then skipped. Each is logged once.
func TestInvalidEventsDoNotEndTheWatch(t *testing.T) {
	discovery, log := newDiscovery(t), &safeBuffer{}
	watcher := NewEndpointWatcher(&Config{Channel: discovery.addr(), Settings: testSettings(t)},
		slog.New(slog.NewTextHandler(log, nil)))
	members := memberText(1, "Ready") + "," + memberText(2, "Cordoned") +
		`,{"id":"s-3","phase":"Ready"},{"phase":"Ready"}`
	event, err := parseEvent([]byte(eventLineText(1, members)), testSettings(t))
	require.NoError(t, err)
	require.Len(t, event.Update.Endpoints, 2)
	assert.Equal(t, balancer.Draining, event.Update.Endpoints[1].State)
	assert.Len(t, event.Invalid, 3)
	events := make(eventRecorder, 64)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- watcher.Follow(ctx, events) }()
	unreadable := `{"cursor":2,"nodes":{"members":7}}` + "\n"
	all := eventLineText(1, memberText(1, "Ready")+`,{"id":"s-3","phase":"Ready"}`) + unreadable
	discovery.nextWatch(0).send(t, all)
	assert.Equal(t, "update 1 of , 1 endpoints, complete true", <-events)
	assert.Equal(t, "lost", <-events)
	watch := discovery.nextWatch(1)
	watch.send(t, unreadable+eventLineText(3, memberText(4, "Ready"))+"3\n")
	assert.Equal(t, "update 3 of , 1 endpoints, complete false", <-events)
	assert.Equal(t, "current", <-events)
	stop()
	<-done
	for text, n := range map[string]int{"unusable executor": 1, "event skipped": 1, `members[1]: host_port`: 1} {
		assert.Equal(t, n, strings.Count(log.String(), text), log.String())
	}
}
