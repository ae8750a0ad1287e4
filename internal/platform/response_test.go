package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
)

// truncatingExecutor responds to each request with text and then closes or resets the connection.
// It sends the ids of the requests to ran.
func truncatingExecutor(t *testing.T, text string, reset bool, ran chan<- string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				ran <- r.Header.Get("X-Hop-Id")
				_, _ = io.WriteString(conn, text)
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
	}()
	return ln.Addr().String()
}

// A response that is truncated in its head or body, by a close or a reset, chunked or not, reaches
// no client as a complete one, and a non-idempotent call that may have run fails. A reset after a
// complete response does no harm.
func TestTruncatedResponsesReachNoClient(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     int
	}{
		"nothing":               {"", 502},
		"in the head":           {"HTTP/1.1 200 OK\r\nContent-Le", 502},
		"after the head":        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 502},
		"in the body":           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslo", 502},
		"in a chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsl", 502},
		"before the last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n", 502},
		"after the response":    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot", 200},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				ran := make(chan string, 8)
				executor := endpointAt(truncatingExecutor(t, c.response, reset, ran))
				s := newTestbed(t, testbedOptions{})
				s.core.UpdateEndpoints(oakthread.EndpointUpdate{
					Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{executor},
				})
				client := s.send(firstID, "path-book")
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				assert.Equal(t, c.want, resp.StatusCode)
				if c.want == 200 {
					assert.Equal(t, "slot", string(body))
				} else {
					assert.Empty(t, body)
				}
				assert.Len(t, ran, 1, "a call that may have run is not sent again")
				s.close()
			})
		}
	}
}
