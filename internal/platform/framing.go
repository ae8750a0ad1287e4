package platform

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxKeptLineBytes is how much of a header line is kept. Content-Length and Transfer-Encoding
	// fit.
	maxKeptLineBytes = 128
	// unknownLength stands for a length that was not given, or for a body whose end is not known.
	unknownLength = -1
)

// framer finds the boundaries of HTTP/1.1 messages (RFC 9112, section 6) in the bytes of one
// direction, independently of net/http. It detects messages that two parsers may read differently:
// net/http ignores a Content-Length beside a Transfer-Encoding, and reads data after a response as
// the next response.
type framer struct {
	responses bool // the messages are responses rather than requests

	line            []byte // the current line, up to maxKeptLineBytes
	lineCount       int    // lines of the current head so far
	status          int
	contentLength   int64 // unknownLength: the head has none so far
	transferEncoded bool  // the head has a Transfer-Encoding
	ambiguous       bool  // the lengths in the head contradict each other or cannot be read

	inBody   bool
	bodyLeft int64 // bytes of the body that have not arrived; unknownLength: the end is not tracked
	ended    bool  // the last call of consume reached the end of a message
}

// consume reads bytes up to the end of the current message and returns how many belong to it.
func (f *framer) consume(b []byte) (n int) {
	if f.ended || f.line == nil {
		*f = framer{responses: f.responses, line: f.line[:0], contentLength: unknownLength}
	}
	for n < len(b) && !f.ended {
		if f.inBody {
			n += f.consumeBody(b[n:])
		} else {
			n += f.consumeLine(b[n:])
		}
	}
	return n
}

// consumeBody reads bytes of a body and returns how many belong to it.
func (f *framer) consumeBody(b []byte) int {
	if f.bodyLeft == unknownLength {
		return len(b)
	}
	n := min(int64(len(b)), f.bodyLeft)
	f.bodyLeft -= n
	f.ended = f.bodyLeft == 0
	return int(n)
}

// consumeLine reads bytes of a head up to the end of a line and returns how many belong to the
// line.
func (f *framer) consumeLine(b []byte) int {
	part, _, complete := bytes.Cut(b, []byte{'\n'})
	f.line = append(f.line, part[:min(len(part), max(0, maxKeptLineBytes-len(f.line)))]...)
	if !complete {
		return len(part)
	}
	f.parseLine(strings.TrimRight(string(f.line), "\r"))
	f.line = f.line[:0]
	return len(part) + 1
}

// atBoundary reports whether nothing of the next message has arrived.
func (f *framer) atBoundary() bool {
	return f.ended || f.lineCount == 0 && len(f.line) == 0 && !f.inBody
}

// headFields returns the number of header fields that have arrived of a head that is not complete.
func (f *framer) headFields() int {
	if f.inBody || f.ended {
		return 0
	}
	return max(f.lineCount-1, 0)
}

// parseLine parses a line of a head. An empty line ends the head.
func (f *framer) parseLine(line string) {
	f.lineCount++
	switch {
	case line == "" && f.lineCount == 1: // empty lines may precede a message
		f.lineCount = 0
	case line == "":
		f.endHead()
	case f.lineCount == 1:
		f.parseStartLine(line)
	default:
		f.parseField(line)
	}
}

// parseStartLine parses the status of a response.
func (f *framer) parseStartLine(line string) {
	if _, rest, ok := strings.Cut(line, " "); ok && f.responses {
		f.status, _ = strconv.Atoi(rest[:min(3, len(rest))])
	}
}

// parseField parses the header fields that determine the length of the message.
func (f *framer) parseField(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		f.transferEncoded = true
	case "content-length":
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		differs := f.contentLength != unknownLength && f.contentLength != length
		f.ambiguous = f.ambiguous || err != nil || length < 0 || differs
		f.contentLength = length
	}
}

// endHead ends a head and determines the body that follows it.
func (f *framer) endHead() {
	if f.isInterim() {
		*f = framer{responses: true, line: f.line, contentLength: unknownLength} // a final one follows
		return
	}
	f.ambiguous = f.ambiguous || f.transferEncoded && f.contentLength != unknownLength
	f.bodyLeft = f.bodyLength()
	f.inBody, f.ended = true, f.bodyLeft == 0
}

// isInterim reports whether the head belongs to a 1xx response that a final response follows. After
// a 101 the connection carries no further messages.
func (f *framer) isInterim() bool {
	return f.responses && f.status/100 == 1 && f.status != http.StatusSwitchingProtocols
}

// bodyLength returns the length of the body that follows the head, or unknownLength.
func (f *framer) bodyLength() int64 {
	switch {
	case f.responses && (f.status == http.StatusNoContent || f.status == http.StatusNotModified):
		return 0
	case f.transferEncoded || f.ambiguous:
		return unknownLength
	case f.contentLength == unknownLength && !f.responses:
		return 0
	}
	return f.contentLength
}
