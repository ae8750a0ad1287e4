package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// WriteHTTP2 writes the operator's file of the node with the HTTP/2 front at HTTP2, with its default
// limits.
func (n *Node) WriteHTTP2() error {
	n.operatorFile = filepath.Join(n.tier.dir, fmt.Sprintf("oakthread-%d.toml", n.number))
	return os.WriteFile(n.operatorFile, []byte(fmt.Sprintf("[http2]\nlisten = %q\n", n.HTTP2)), 0o600)
}

// countingConn counts the bytes written on a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write writes b and counts it.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// SendHTTP2 sends one call by HTTP/2 with prior knowledge on a connection of its own, and reads its
// answer. The client waits for its patience and 0.7 s more, which is beyond the half second after which
// a missing answer counts as lost. Lost says that the request was written whole and got no whole
// answer by then.
func SendHTTP2(record *Record, addr string, call Call) Answer {
	answer := Answer{ID: NewID()}
	var written atomic.Int64
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
			return countingConn{conn, &written}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: call.Patience + 700*time.Millisecond}
	body := &endReader{Reader: strings.NewReader(call.Body)}
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/call/"+call.Function+"/trigger", body)
	if err != nil {
		answer.Err = err
		return answer
	}
	request.ContentLength = int64(len(call.Body))
	request.Header.Set("X-Class", call.Class)
	request.Header.Set("X-Call-Id", answer.ID)
	request.Header.Set("X-Patience-Ms", fmt.Sprint(call.Patience.Milliseconds()))
	request.Header.Set("X-Extras", "memory_mb:3000;lanes:4;load_ms:1200")
	record.Logf("HTTP/2 client: sends %s %s body=%q", call.Class, answer.ID, call.Body)
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		var raw []byte
		raw, err = io.ReadAll(response.Body)
		answer.Status, answer.Body = response.StatusCode, string(raw)
	}
	answer.Err, answer.Lost = err, err != nil && body.ended.Load()
	record.Logf("HTTP/2 client: %s answered: status=%d body=%q error=%v written=%d lost=%t", answer.ID, answer.Status,
		answer.Body, err, written.Load(), answer.Lost)
	return answer
}

// endReader reports whether its end has been read, and so the whole body been taken for writing.
type endReader struct {
	io.Reader
	ended atomic.Bool
}

// Read reads from the wrapped reader.
func (r *endReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	return n, err
}

// SilentClients open count connections to addr and say nothing. Each opens another as soon as one
// is closed, until the returned function is called.
func SilentClients(record *Record, addr string, count int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var opened, closed atomic.Int64
	for range count {
		group.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				opened.Add(1)
				release := context.AfterFunc(ctx, func() { conn.Close() })
				_, _ = io.Copy(io.Discard, conn) // until the dispatcher closes it
				release()
				conn.Close()
				closed.Add(1)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
		record.Logf("silent clients: opened %d connections, %d closed", opened.Load(), closed.Load())
	}
}
