package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/neterr"
)

// Injected faults neither change nor lose transferred bytes, and every injected error is one that
// the program can continue after: none of accept that ends the listener, none of connect that is
// not local.
func TestBytesPassUnchanged(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer plain.Close()
	i := New(1)
	i.Schedule([]Window{{From: time.Now(), Until: time.Now().Add(time.Hour)}})
	i.Set(Rates{Accept: 0.5, Connect: 0.5, IO: 0.5})
	network := i.Network()
	ln := network.Listener(plain)
	sent := bytes.Repeat([]byte("0123456789"), 2000)
	done := make(chan error, 1)
	go func() {
		dial := network.Dial((&net.Dialer{}).DialContext)
		var c net.Conn
		var err error
		for c, err = dial(t.Context(), "tcp", plain.Addr().String()); err != nil; c, err = dial(t.Context(), "tcp",
			plain.Addr().String()) {
			if !neterr.IsLocal(err) {
				done <- err
				return
			}
		}
		defer c.Close()
		for at := 0; at < len(sent) && err == nil; at += 100 {
			_, err = neterr.Write(c, sent[at:at+100])
		}
		done <- err
	}()
	var c net.Conn
	for c, err = ln.Accept(); err != nil; c, err = ln.Accept() {
		require.False(t, neterr.EndsListener(err), err)
	}
	defer c.Close()
	var got bytes.Buffer
	for b := make([]byte, 64); ; {
		n, err := neterr.Read(c, b)
		got.Write(b[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
	}
	require.NoError(t, <-done)
	assert.Equal(t, sent, got.Bytes())
}
