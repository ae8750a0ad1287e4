package webhook

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A message that cannot be decoded is answered with 400 or 413 and not executed.
func TestMalformedMessageIsRejectedWithoutExecution(t *testing.T) {
	d := newTestFront(t, "")
	for i, c := range []struct {
		body []byte
		want int
	}{
		{[]byte("no json"), 400},
		{requestBody("path-walk", testFunction, ""), 400},
		{[]byte(`{"type":"path-book","data":{"function":"` + testFunction + `"}}`), 400},
		{requestBody("path-book", "7f", ""), 400},
		{requestBody("path-book", testFunction, strings.Repeat("x", maxCallBytes+1)), 400},
		{[]byte(`{"type":"path-book.requested","data":{"function":"` + testFunction + `","patience_ms":-1}}`), 400},
		{bytes.Repeat([]byte("x"), maxMessageBytes+1), 413},
	} {
		header := signed(t, secret(1), fmt.Sprint(i), time.Now(), c.body)
		assert.Equal(t, c.want, d.deliver(header, c.body).Code, i)
	}
	assert.Empty(t, d.core.runs)
	assert.Equal(t, int64(7), d.receiver.Counters().Malformed)
}

// A sender that does not send the whole message in time is answered with 408 and disconnected.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	d := newTestFront(t, "")
	d.receiver.bodyTimeout = 20 * time.Millisecond
	server := httptest.NewServer(d.receiver)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err, "the server closes the connection")
	assert.Contains(t, string(response), "HTTP/1.1 408 ")
	assert.Equal(t, int64(1), d.receiver.Counters().Malformed)
}
