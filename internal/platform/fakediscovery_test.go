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
