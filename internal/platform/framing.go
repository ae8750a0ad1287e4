package platform

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxKeptLineBytes = 128 // bytes kept of a line of a head: what bounds a message fits
	unknownLength    = -1  // a length that was not told, or an end that cannot be told
)

// framer follows the bounds of HTTP/1.1 messages in the bytes of one direction. Guards against two readings of one
// message: net/http drops Content-Length where Transfer-Encoding stands beside it, and reads on in what follows an
// answer as if it were the next.
type framer struct {
	responses bool // follows answers, not requests

	line            []byte
	lineCount       int
	contentLength   int64 // as told in this head
	transferEncoded bool  // a Transfer-Encoding stands in this head
	ambiguous       bool  // the head's lengths contradict each other or cannot be read
	status          int
	bodyLeft        int64 // of the body; uncounted: up to the end of the connection
	inBody          bool
	ended           bool // the message that feed saw last has ended
}

// consume takes bytes up to the end of a message and returns how many these were.
func (f *framer) consume(b []byte) (n int) {
	if f.ended || f.line == nil {
		*f = framer{responses: f.responses, line: f.line[:0], contentLength: unknownLength}
	}
	for n < len(b) && !f.ended {
		if f.inBody {
			if f.bodyLeft == unknownLength {
				return len(b)
			}
			k := min(int64(len(b)-n), f.bodyLeft)
			n, f.bodyLeft = n+int(k), f.bodyLeft-k
			f.ended = f.bodyLeft == 0
			continue
		}
		part, _, whole := bytes.Cut(b[n:], []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), max(0, maxKeptLineBytes-len(f.line)))]...)
		n += len(part)
		if whole {
			n++
			f.parseLine(strings.TrimRight(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
	return n
}

// atBoundary tells that of the next message nothing has come.
func (f *framer) atBoundary() bool {
	return f.ended || f.lineCount == 0 && len(f.line) == 0 && !f.inBody
}

// parseLine reads a line of a head; the empty one ends it.
func (f *framer) parseLine(line string) {
	f.lineCount++
	if line == "" {
		if f.lineCount == 1 { // empty lines before a message
			f.lineCount = 0
			return
		}
		f.endHead()
		return
	}
	if f.lineCount == 1 {
		if _, rest, ok := strings.Cut(line, " "); ok && f.responses {
			f.status, _ = strconv.Atoi(rest[:min(3, len(rest))])
		}
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		f.transferEncoded = true
	case "content-length":
		v, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		f.ambiguous = f.ambiguous || err != nil || v < 0 || f.contentLength != unknownLength && f.contentLength != v
		f.contentLength = v
	}
}

// endHead ends a head and tells what follows it.
func (f *framer) endHead() {
	f.ambiguous = f.ambiguous || f.transferEncoded && f.contentLength != unknownLength
	f.bodyLeft = f.contentLength
	switch {
	case f.responses && f.status/100 == 1 && f.status != http.StatusSwitchingProtocols:
		*f = framer{responses: true, line: f.line, contentLength: unknownLength} // the answer itself is still to come
		return
	case f.responses && (f.status == http.StatusNoContent || f.status == http.StatusNotModified):
		f.bodyLeft = 0
	case f.transferEncoded || f.ambiguous || f.responses && f.contentLength == unknownLength:
		f.bodyLeft = unknownLength
	case f.contentLength == unknownLength:
		f.bodyLeft = 0
	}
	f.inBody, f.ended = true, f.bodyLeft == 0
}
