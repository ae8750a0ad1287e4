package platform

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
)

// TestParseHeader checks that the headers of a request are parsed, and that malformed, repeated and
// out-of-range values are errors.
func TestParseHeader(t *testing.T) {
	server := NewServer(nil, testSettings(t), testClasses(t))
	for name, c := range map[string]struct {
		header, value string // replaces a valid header
		invalid       bool
	}{
		"plain":                    {},
		"no tenant":                {"X-Customer", "", false},
		"unknown tenant":           {"X-Customer", "acme", true},
		"unknown class":            {"X-Class", "call", true},
		"short id":                 {"X-Call-Id", "12", true},
		"signed id":                {"X-Call-Id", "+b1f03aa5c7e2d41", true},
		"no timeout":               {"X-Patience-Ms", "", true},
		"negative timeout":         {"X-Patience-Ms", "-4", true},
		"timeout is NaN":           {"X-Patience-Ms", "NaN", true},
		"malformed extras":         {"X-Extras", "lanes:two", true},
		"infinite extras":          {"X-Extras", "lanes:Inf", true},
		"unknown extras":           {"X-Extras", "colour:3;", false},
		"no concurrency":           {"X-Extras", "lanes:0", true},
		"concurrency out of range": {"X-Extras", "lanes:1000000", true},
		"memory out of range":      {"X-Extras", "memory_mb:1e300", true},
		"load time out of range":   {"X-Extras", "load_ms:1e15", true},
		"timeout out of range":     {"X-Patience-Ms", "1e15", true},
	} {
		header := http.Header{
			"X-Class": {"path-book"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"1500"},
			"X-Customer": {"ironbridge-haul"}, "X-Extras": {"memory_mb:512;lanes:2;load_ms:640"},
		}
		if c.header != "" {
			header.Set(c.header, c.value)
		}
		request, err := server.parseHeader("7F3a9c21e0b4d655", header, time.Unix(100, 0))
		assert.Equal(t, c.invalid, err != nil, "%s: %v", name, err)
		if name == "plain" {
			assert.Equal(t, oakthread.Request{
				ID: "9b1f03aa5c7e2d41", Class: 1, Func: 0x7f3a9c21e0b4d655, Key: "7F3a9c21e0b4d655",
				Deadline: time.Unix(101, 3e8), MemoryMB: 512, Concurrency: 2, LoadTime: 640 * time.Millisecond,
			}, request)
		}
	}
	for mark, want := range map[string]bool{"": false, "0": false, "false": false, "1": true, "true": true} {
		header := http.Header{
			"X-Class": {"path-book"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"1500"},
			"X-Repeat": {mark}, "X-Dedupe-Key": {"k 1"},
		}
		request, err := server.parseHeader("7F3a9c21e0b4d655", header, time.Now())
		require.NoError(t, err)
		assert.Equal(t, want, request.Retry, mark)
		assert.Equal(t, "k 1", request.IdempotencyKey)
		header.Add("X-Dedupe-Key", "k 2")
		_, err = server.parseHeader("7F3a9c21e0b4d655", header, time.Now())
		assert.ErrorContains(t, err, "X-Dedupe-Key stands there 2 times")
	}
	_, err := server.parseHeader("no-function", http.Header{}, time.Now())
	assert.Error(t, err)
	_, err = server.parseHeader("7F3a9c21e0b4d655", http.Header{
		"X-Class": {"path-book"}, "X-Patience-Ms": {"1500"},
		"X-Call-Id": {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"},
	}, time.Now())
	assert.ErrorContains(t, err, "2 times")
	assert.Less(t, headerTimeout+bodyTimeout, requestReadTimeout, "a late head and an incomplete body")
}
