package platform

// This file follows where messages of HTTP/1.1 end in the raw bytes of one direction, beside net/http. It must never change a
// byte, or say that a message has ended when that cannot be told.

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	lineKept  = 128 // bytes kept of a line of a head: what bounds a message fits
	uncounted = -1  // a length that was not told, or an end that cannot be told
)

// framer follows the bounds of HTTP/1.1 messages in the bytes of one direction. Guards against two readings of one
// message: net/http drops Content-Length where Transfer-Encoding stands beside it, and reads on in what follows an
// answer as if it were the next.
type framer struct {
	answers bool // follows answers, not requests

	line   []byte
	lines  int
	length int64 // as told in this head
	coded  bool  // a Transfer-Encoding stands in this head
	odd    bool  // the head's lengths contradict each other or cannot be read
	status int
	left   int64 // of the body; uncounted: up to the end of the connection
	body   bool
	ended  bool // the message that feed saw last has ended
}

// feed takes bytes up to the end of a message and returns how many these were.
func (f *framer) feed(b []byte) (n int) {
	if f.ended || f.line == nil {
		*f = framer{answers: f.answers, line: f.line[:0], length: uncounted}
	}
	for n < len(b) && !f.ended {
		if f.body {
			if f.left == uncounted {
				return len(b)
			}
			k := min(int64(len(b)-n), f.left)
			n, f.left = n+int(k), f.left-k
			f.ended = f.left == 0
			continue
		}
		part, _, whole := bytes.Cut(b[n:], []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), max(0, lineKept-len(f.line)))]...)
		n += len(part)
		if whole {
			n++
			f.take(strings.TrimRight(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
	return n
}

// between tells that of the next message nothing has come.
func (f *framer) between() bool { return f.ended || f.lines == 0 && len(f.line) == 0 && !f.body }

// take reads a line of a head; the empty one ends it.
func (f *framer) take(line string) {
	f.lines++
	if line == "" {
		if f.lines == 1 { // empty lines before a message
			f.lines = 0
			return
		}
		f.head()
		return
	}
	if f.lines == 1 {
		if _, rest, ok := strings.Cut(line, " "); ok && f.answers {
			f.status, _ = strconv.Atoi(rest[:min(3, len(rest))])
		}
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		f.coded = true
	case "content-length":
		v, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		f.odd = f.odd || err != nil || v < 0 || f.length != uncounted && f.length != v
		f.length = v
	}
}

// head ends a head and tells what follows it.
func (f *framer) head() {
	f.odd = f.odd || f.coded && f.length != uncounted
	f.left = f.length
	switch {
	case f.answers && f.status/100 == 1 && f.status != http.StatusSwitchingProtocols:
		*f = framer{answers: true, line: f.line, length: uncounted} // the answer itself is still to come
		return
	case f.answers && (f.status == http.StatusNoContent || f.status == http.StatusNotModified):
		f.left = 0
	case f.coded || f.odd || f.answers && f.length == uncounted:
		f.left = uncounted
	case f.length == uncounted:
		f.left = 0
	}
	f.body, f.ended = true, f.left == 0
}
