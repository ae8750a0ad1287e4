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

	"github.com/stretchr/testify/require"
)

// fakeDiscovery is a discovery service that hands its connections to the test.
type fakeDiscovery struct {
	t     *testing.T
	ln    net.Listener
	conns chan fakeWatch
}

// fakeWatch is one connection of a watcher, with the request line that the watcher sent.
type fakeWatch struct {
	net.Conn
	request string
}

// newDiscovery starts a discovery service.
func newDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &fakeDiscovery{t, ln, make(chan fakeWatch, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			line, _ := bufio.NewReader(conn).ReadString('\n')
			d.conns <- fakeWatch{conn, strings.TrimSpace(line)}
		}
	}()
	return d
}

func (d *fakeDiscovery) addr() string { return d.ln.Addr().String() }

// nextWatch returns the next connection, whose request must be to resume after event cursor.
func (d *fakeDiscovery) nextWatch(cursor int) fakeWatch {
	d.t.Helper()
	watch := <-d.conns
	require.Equal(d.t, fmt.Sprintf("resume %d", cursor), watch.request)
	return watch
}

// send writes lines to the watcher.
func (w fakeWatch) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(w, text)
	require.NoError(t, err)
}

// eventLineText returns the line of an event; event 1 holds the complete list.
func eventLineText(cursor int, members string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"complete":%v,"members":[%s]}}`+"\n", cursor, cursor == 1, members)
}

// memberText returns a member of an event as JSON.
func memberText(id int, phase string) string {
	return fmt.Sprintf(`{"id":"s-%08x","host_port":"127.0.0.1:4","phase":%q,"size":1}`, id, phase)
}

// startWatch starts a watcher that follows a discovery service from its first event and logs to
// log.
func startWatch(t *testing.T, discovery *fakeDiscovery, log io.Writer) (*EndpointWatcher, eventRecorder) {
	t.Helper()
	watcher := NewEndpointWatcher(&Config{Channel: discovery.addr(), Settings: testSettings(t)},
		slog.New(slog.NewTextHandler(log, nil)))
	events := make(eventRecorder, 64)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- watcher.Follow(ctx, events) }()
	t.Cleanup(func() { stop(); <-done })
	return watcher, events
}

// safeBuffer is a buffer that one goroutine may write while another reads it.
type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}
