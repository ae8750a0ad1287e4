package platform

import (
	"bytes"
	"context"
	"errors"
	"os"

	"oakthread/internal/neterr"
)

const (
	// maxReadAheadBytes limits what is read behind a request in flight: a head and a body.
	maxReadAheadBytes = 32 << 10
	// readAheadChunkBytes is the size of one read.
	readAheadChunkBytes = 1 << 10
)

// readAhead holds the bytes read behind the request in flight, for net/http to read after it.
type readAhead struct {
	buffer bytes.Buffer
	err    error         // what ended the reading, returned once the bytes are read
	done   chan struct{} // closed when the reading has ended; nil: none has begun
}

// isEmpty reports whether there is neither a byte nor an error to return.
func (a *readAhead) isEmpty() bool { return a.buffer.Len() == 0 && a.err == nil }

// take copies bytes that were read ahead, or returns the error that ended the reading if there are none.
func (a *readAhead) take(b []byte) (n int, err error) {
	if a.buffer.Len() > 0 {
		n, _ = a.buffer.Read(b)
		return n, nil
	}
	err, a.err = a.err, nil
	return 0, err
}

// startReadAhead reads on, in a goroutine that stopReadAhead waits for, while a request is in flight.
func (c *clientConn) startReadAhead(cancelRequest context.CancelFunc) {
	done := make(chan struct{})
	c.ahead.done = done
	go func() {
		defer close(done)
		c.readAheadUntilError(cancelRequest)
	}()
}

// stopReadAhead ends the read ahead: the request has its response, or the server's read was interrupted.
func (c *clientConn) stopReadAhead() error {
	if c.ahead.done == nil {
		return nil
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-c.ahead.done
	c.ahead.done = nil
	return c.restoreDeadline()
}

// readAheadUntilError reads up to maxReadAheadBytes, and cancels the request in flight once its client has
// left.
func (c *clientConn) readAheadUntilError(cancelRequest context.CancelFunc) {
	chunk := make([]byte, readAheadChunkBytes)
	for c.ahead.buffer.Len() < maxReadAheadBytes {
		n, err := neterr.Read(c.Conn, chunk)
		c.ahead.buffer.Write(chunk[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.ahead.err = err
			cancelRequest()
			return
		}
	}
}
