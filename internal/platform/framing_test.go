package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The framer finds the end of a message independently of how its bytes are split into reads.
func TestFramerFindsMessageBounds(t *testing.T) {
	for _, c := range []struct {
		text      string
		responses bool
		at        int // bytes up to the end of the first message; 0: no end is found
		ambiguous bool
	}{
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", false, 41, false},
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nGET", false, 27, false},
		{"\r\nGET / HTTP/1.1\n\nGET", false, 18, false},
		{"POST / HTTP/1.1\r\ncontent-length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET", false, 0, true},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET", false, 0, false},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", false, 0, true},
		{"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", false, 0, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcabc", true, 41, false},
		{"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP", true, 60, false},
		{"HTTP/1.1 204 No Content\r\n\r\nx", true, 27, false},
		{"HTTP/1.1 200 OK\r\n\r\nabc", true, 0, false},
	} {
		for _, cut := range []int{1, 7, len(c.text)} {
			f, at, ambiguous := framer{responses: c.responses}, 0, false
			for from := 0; from < len(c.text) && !f.ended; from += cut {
				part := c.text[from:min(from+cut, len(c.text))]
				at = from + f.consume([]byte(part))
				ambiguous = ambiguous || f.ambiguous
			}
			assert.Equal(t, c.ambiguous, ambiguous, c.text)
			assert.Equal(t, c.at > 0, f.ended, c.text)
			if f.ended {
				assert.Equal(t, c.at, at, "cut %d: %q", cut, c.text)
			}
		}
	}
}

// exchangeRaw writes text to a server on a new connection and returns all that it receives.
func exchangeRaw(t *testing.T, url, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	got, _ := io.ReadAll(conn)
	return string(got)
}

// A request smuggled in the body of another by ambiguous lengths is not forwarded: the outer
// request is rejected and the connection is closed. A request with a chunked body alone is served,
// but nothing after the body is read.
func TestSmuggledRequestsAreRejected(t *testing.T) {
	ran := make(chan string, 8)
	s := startServer(t, time.Millisecond, make(logLineWriter, 8), func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		ran <- r.Header.Get("X-Hop-Id") + " " + string(body)
	})
	head := func(id int, lengths string) string {
		return fmt.Sprintf("POST /call/7f3a9c21e0b4d655/trigger HTTP/1.1\r\nHost: x\r\nX-Class: path-check\r\n"+
			"X-Customer: ironbridge-haul\r\nX-Call-Id: %016x\r\n"+
			"X-Patience-Ms: 3000\r\n%s\r\n", id, lengths)
	}
	hidden := "0\r\n\r\n" + head(2, "Content-Length: 0\r\n")
	for _, lengths := range []string{
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 9999\r\n",
	} {
		got := exchangeRaw(t, s.url, head(1, lengths)+hidden)
		assert.True(t, strings.HasPrefix(got, "HTTP/1.1 400"), got)
		assert.Equal(t, 1, strings.Count(got, "HTTP/1.1 "), got)
	}
	assert.Empty(t, ran, "one of them was forwarded")
	got := exchangeRaw(t, s.url, head(3, "Transfer-Encoding: chunked\r\n")+"2\r\nhi\r\n"+hidden)
	assert.True(t, strings.HasPrefix(got, "HTTP/1.1 200"), got)
	assert.Equal(t, "0000000000000003 hi", <-ran)
	assert.Empty(t, ran, "what followed the chunks was forwarded")
	s.shutdown()
	require.NoError(t, <-s.done)
}
