package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendBooking writes a booking with a given id on a new connection and returns the connection.
func (r *upgradeRig) sendBooking(id, body string) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /call/%s/trigger HTTP/1.1\r\nHost: a\r\nX-Class: path-book\r\n"+
		"X-Call-Id: %s\r\nX-Patience-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", function, id, len(body), body)
	require.NoError(r.t, err)
	return conn
}

// bookAgain sends a booking and returns the status of its answer.
func (r *upgradeRig) bookAgain(id, body string) int {
	r.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(r.sendBooking(id, body)), nil)
	require.NoError(r.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(r.t, err)
	return response.StatusCode
}

// Guards against bookings that run twice: a booking whose client has left, or whose connection to
// the worker was cut, does not run again when its id comes again, neither at the same process nor at
// the other one of an upgrade.
func TestBookingRunsOnceUnderItsID(t *testing.T) {
	for name, body := range map[string]string{"client left": "left", "answer cut off": "cut off"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newUpgradeRig(t, false)
			old := r.startProcess()
			const id = "00000000000000aa"
			conn := r.sendBooking(id, body)
			require.Eventually(t, func() bool { return r.runsOf(body) == 1 }, upgradeTimeout, time.Millisecond)
			require.NoError(t, conn.Close())
			assert.Equal(t, http.StatusConflict, r.bookAgain(id, body), "at the same process")

			next := r.startProcess()
			old.signal(syscall.SIGTERM)
			old.awaitEnd()
			assert.Equal(t, http.StatusConflict, r.bookAgain(id, body), "at the next process")
			assert.Equal(t, http.StatusOK, r.bookAgain("00000000000000ab", "another"))
			next.signal(syscall.SIGTERM)
			next.awaitEnd()
			r.checkRuns()
		})
	}
}
