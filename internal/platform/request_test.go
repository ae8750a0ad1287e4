package platform

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
)

func TestHeadOfACall(t *testing.T) {
	f := NewFront(nil, testSettings(t))
	for name, c := range map[string]struct {
		change, to string
		bad        bool
	}{
		"plain":            {},
		"no tenant":        {"X-Customer", "", false},
		"unknown tenant":   {"X-Customer", "acme", true},
		"unknown class":    {"X-Class", "call", true},
		"short id":         {"X-Call-Id", "12", true},
		"signed id":        {"X-Call-Id", "+b1f03aa5c7e2d41", true},
		"no patience":      {"X-Patience-Ms", "", true},
		"patience is past": {"X-Patience-Ms", "-4", true},
		"patience is NaN":  {"X-Patience-Ms", "NaN", true},
		"odd extras":       {"X-Extras", "lanes:two", true},
		"infinite extras":  {"X-Extras", "lanes:Inf", true},
		"other extras":     {"X-Extras", "colour:3;", false},
		"no lanes":         {"X-Extras", "lanes:0", true},
		"absurd lanes":     {"X-Extras", "lanes:1000000", true},
		"absurd memory":    {"X-Extras", "memory_mb:1e300", true},
		"absurd load":      {"X-Extras", "load_ms:1e15", true},
		"absurd patience":  {"X-Patience-Ms", "1e15", true},
	} {
		h := http.Header{
			"X-Class": {"path-book"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"1500"},
			"X-Customer": {"ironbridge-haul"}, "X-Extras": {"memory_mb:512;lanes:2;load_ms:640"},
		}
		if c.change != "" {
			h.Set(c.change, c.to)
		}
		q, err := f.parseHeader("7F3a9c21e0b4d655", h, time.Unix(100, 0))
		assert.Equal(t, c.bad, err != nil, "%s: %v", name, err)
		if name == "plain" {
			assert.Equal(t, oakthread.Request{
				ID: "9b1f03aa5c7e2d41", Class: 1, Func: 0x7f3a9c21e0b4d655, Key: "7F3a9c21e0b4d655",
				Deadline: time.Unix(101, 3e8), MemoryMB: 512, Concurrency: 2, LoadTime: 640 * time.Millisecond,
			}, q)
		}
	}
	for mark, want := range map[string]bool{"": false, "0": false, "false": false, "1": true, "true": true} {
		h := http.Header{"X-Class": {"path-book"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"1500"}, "X-Repeat": {mark}, "X-Dedupe-Key": {"k 1"}}
		q, err := f.parseHeader("7F3a9c21e0b4d655", h, time.Now())
		require.NoError(t, err)
		assert.Equal(t, want, q.Retry, mark)
		assert.Equal(t, "k 1", q.IdempotencyKey)
		h.Add("X-Dedupe-Key", "k 2")
		_, err = f.parseHeader("7F3a9c21e0b4d655", h, time.Now())
		assert.ErrorContains(t, err, "X-Dedupe-Key stands there 2 times")
	}
	_, err := f.parseHeader("no-function", http.Header{}, time.Now())
	assert.Error(t, err)
	_, err = f.parseHeader("7F3a9c21e0b4d655", http.Header{
		"X-Class": {"path-book"}, "X-Patience-Ms": {"1500"},
		"X-Call-Id": {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"},
	}, time.Now())
	assert.ErrorContains(t, err, "2 times")
	assert.Less(t, headerTimeout+bodyTimeout, requestReadTimeout, "a head that comes late and a body that never does")
}
