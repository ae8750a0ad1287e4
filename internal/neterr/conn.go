package neterr

import (
	"net"
	"time"

	"oakthread/internal/mutant"
)

// Shortages on an open connection pass within milliseconds, or the connection is given up.
const (
	ioRetries    = 8
	ioLeastPause = time.Millisecond
	ioMostPause  = 50 * time.Millisecond
)

// Read reads from c, again where a shortage or an interruption kept it from reading.
func Read(c net.Conn, b []byte) (n int, err error) {
	backoff := Backoff{Least: ioLeastPause, Most: ioMostPause}
	for try := 0; ; try++ {
		n, err = c.Read(b)
		if n > 0 || err == nil || try == ioRetries || !goesOn(err) {
			return n, err
		}
		time.Sleep(backoff.Next())
	}
}

// Write writes all of b to c, going on behind what was written where a shortage or an interruption cut it short.
func Write(c net.Conn, b []byte) (n int, err error) {
	backoff := Backoff{Least: ioLeastPause, Most: ioMostPause}
	for try := 0; ; {
		var wrote int
		wrote, err = c.Write(b[n:])
		n += wrote
		if err == nil || !goesOn(err) {
			return n, err
		}
		if wrote > 0 {
			try = 0
			backoff.Reset()
		}
		if try++; try > ioRetries {
			return n, err
		}
		time.Sleep(backoff.Next())
	}
}

// goesOn tells whether a read or write may be tried again on the same connection.
func goesOn(err error) bool { return IsShortage(err) && !mutant.On(mutant.TransferEnds) }
