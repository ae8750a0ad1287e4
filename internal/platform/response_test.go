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

// Guards against a cut answer that passes for a whole one: cut in head or body, by a close or a reset, in chunks or not, it
// is no answer, and a booking that may have run is told as failed. A reset behind a whole answer cuts nothing.
func TestTruncatedResponsesReachNoClient(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   int
	}{
		"nothing":               {"", 502},
		"in the head":           {"HTTP/1.1 200 OK\r\nContent-Le", 502},
		"behind the head":       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 502},
		"in the body":           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslo", 502},
		"in a chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsl", 502},
		"before the last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n", 502},
		"behind the answer":     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot", 200},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer ln.Close()
				runs := make(chan string, 8)
				go func() {
					for {
						in, err := ln.Accept()
						if err != nil {
							return
						}
						if r, err := http.ReadRequest(bufio.NewReader(in)); err == nil {
							_, _ = io.Copy(io.Discard, r.Body)
							runs <- r.Header.Get("X-Hop-Id")
							_, _ = io.WriteString(in, c.answer)
						}
						if reset {
							_ = in.(*net.TCPConn).SetLinger(0)
						}
						in.Close()
					}
				}()
				s := newTestbed(t, nil, nil)
				s.core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{endpointAt(ln.Addr().String())}})
				in := s.send(firstID, "path-book")
				resp, err := http.ReadResponse(bufio.NewReader(in), nil)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				assert.Equal(t, c.want, resp.StatusCode)
				if c.want == 200 {
					assert.Equal(t, "slot", string(got))
				} else {
					assert.Empty(t, got)
				}
				assert.Len(t, runs, 1, "a booking that may have run is not sent again")
				s.close()
			})
		}
	}
}
