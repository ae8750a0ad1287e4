package neterr

import (
	"net"
	"time"

	"oakthread/internal/mutant"
)

// Shortages on an open connection pass within milliseconds; after these retries in a row the call
// fails.
const (
	maxIORetries = 8
	minIOWait    = time.Millisecond
	maxIOWait    = 50 * time.Millisecond
)

// Read reads from conn like conn.Read, and retries where a shortage or an interruption prevented
// it.
func Read(conn net.Conn, b []byte) (n int, err error) {
	backoff := Backoff{Min: minIOWait, Max: maxIOWait}
	for retries := 0; ; retries++ {
		n, err = conn.Read(b)
		if n > 0 || err == nil || retries == maxIORetries || !mayRetryIO(err) {
			return n, err
		}
		time.Sleep(backoff.Next())
	}
}

// Write writes all of b to conn. It continues behind what was written where a shortage or an
// interruption cut the write short.
func Write(conn net.Conn, b []byte) (n int, err error) {
	backoff := Backoff{Min: minIOWait, Max: maxIOWait}
	for retries := 0; ; {
		var written int
		written, err = conn.Write(b[n:])
		n += written
		if err == nil || !mayRetryIO(err) {
			return n, err
		}
		if written > 0 {
			retries = 0
			backoff.Reset()
		}
		retries++
		if retries > maxIORetries {
			return n, err
		}
		time.Sleep(backoff.Next())
	}
}

// mayRetryIO reports whether a read or write that failed with err may be repeated on the same
// connection.
func mayRetryIO(err error) bool { return IsLocal(err) && !mutant.On(mutant.TransferEnds) }
