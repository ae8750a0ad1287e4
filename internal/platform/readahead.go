package platform

import (
	"bytes"
	"context"
	"errors"
	"os"

	"oakthread/internal/neterr"
)

const (
	// maxReadAheadBytes limits the bytes read after a request in flight.
	maxReadAheadBytes = hiddenCloseBytes
	// readAheadChunkBytes is the buffer size of one read.
	readAheadChunkBytes = 1 << 10
)

// readAhead holds the bytes read after the request in flight, until net/http reads them.
type readAhead struct {
	buffer bytes.Buffer
	err    error         // the error that ended the read-ahead, returned after the bytes
	done   chan struct{} // closed when the read-ahead has ended; nil: none is running
}

// isEmpty reports whether there are neither bytes nor an error to return.
func (a *readAhead) isEmpty() bool { return a.buffer.Len() == 0 && a.err == nil }

// take copies bytes that were read ahead to b. If there are none, it returns the error that ended
// the read-ahead.
func (a *readAhead) take(b []byte) (n int, err error) {
	if a.buffer.Len() > 0 {
		n, _ = a.buffer.Read(b)
		return n, nil
	}
	err, a.err = a.err, nil
	return 0, err
}

// startReadAhead starts a goroutine that reads ahead while a request is in flight. stopReadAhead
// ends it and waits for it.
func (c *clientConn) startReadAhead(cancelRequest context.CancelFunc) {
	done := make(chan struct{})
	c.ahead.done = done
	go func() {
		defer close(done)
		if err := c.readAheadUntilError(); err != nil {
			c.ahead.err = err
			cancelRequest()
		}
	}()
}

// stopReadAhead ends the read-ahead, if one is running, and restores the read deadline. It is
// called when net/http reads again.
func (c *clientConn) stopReadAhead() error {
	if c.ahead.done == nil {
		return nil
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-c.ahead.done
	c.ahead.done = nil
	return c.restoreDeadline()
}

// readAheadUntilError reads ahead until an error, which it returns: the client has disconnected. It
// returns nil when it is interrupted or enough has been read. What the kernel then holds denies a
// write for the request in flight (clientMayHaveLeft).
func (c *clientConn) readAheadUntilError() error {
	chunk := make([]byte, readAheadChunkBytes)
	for c.ahead.buffer.Len() < maxReadAheadBytes {
		n, err := neterr.Read(c.Conn, chunk)
		c.ahead.buffer.Write(chunk[:n])
		fits := c.limiter.countReadAhead(c, n)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			return err
		case !fits:
			return nil
		}
	}
	return nil
}
