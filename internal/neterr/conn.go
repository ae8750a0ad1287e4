package neterr

import (
	"net"
	"time"

	"oakthread/internal/mutant"
)

// Resource shortages on an open connection pass within milliseconds. After maxIORetries consecutive
// retries without progress the call fails.
const (
	maxIORetries = 8
	minIOWait    = time.Millisecond
	maxIOWait    = 50 * time.Millisecond
)

// Read reads from conn like conn.Read, and retries if a resource shortage or an interrupted system
// call prevented it.
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

// Write writes all of b to conn. If a resource shortage or an interrupted system call cut a write
// short, it continues after the bytes written. It returns the number of bytes written.
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

// mayRetryIO reports whether a read or write that failed with err may be retried on the same
// connection.
func mayRetryIO(err error) bool { return IsLocal(err) && !mutant.On(mutant.TransferEnds) }
