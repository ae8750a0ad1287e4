package webhook

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A message that is altered in any part, has a timestamp too far in the past or in the future, or
// is signed with an unknown key is answered with 401 and not executed.
func TestInvalidSignatureIsRejectedWithoutExecution(t *testing.T) {
	d := newTestFront(t, "")
	now, body := time.Now(), requestBody("path-book", testFunction, "x")
	// set returns a change that replaces the value of a header with a function of it.
	set := func(key string, value func(old string) string) func(http.Header) {
		return func(h http.Header) { h.Set(key, value(h.Get(key))) }
	}
	to := func(value string) func(string) string { return func(string) string { return value } }
	addSignature := func(old string) string { return "v1,AAAA " + old }
	otherVersion := func(old string) string { return "v2" + old[2:] }
	laterTime := to(fmt.Sprint(now.Unix() + 1))
	for name, c := range map[string]struct {
		secret    string
		id        string
		timestamp time.Time
		change    func(header http.Header) // nil: none
		want      int
	}{
		"valid":             {secret(1), "good", now, nil, 200},
		"second of two":     {secret(1), "two", now, set("Webhook-Signature", addSignature), 200},
		"unknown key":       {secret(9), "a", now, nil, 401},
		"stale":             {secret(1), "b", now.Add(-Tolerance - time.Minute), nil, 401},
		"early":             {secret(1), "c", now.Add(Tolerance + time.Minute), nil, 401},
		"other id":          {secret(1), "d", now, set("Webhook-Id", to("e")), 401},
		"other time":        {secret(1), "f", now, set("Webhook-Timestamp", laterTime), 401},
		"time not a number": {secret(1), "g", now, set("Webhook-Timestamp", to("now")), 401},
		"other version":     {secret(1), "h", now, set("Webhook-Signature", otherVersion), 401},
		"none":              {secret(1), "i", now, func(h http.Header) { h.Del("Webhook-Signature") }, 401},
		"dot in id":         {secret(1), "j.1", now, nil, 401},
	} {
		header := signed(t, c.secret, c.id, c.timestamp, body)
		if c.change != nil {
			c.change(header)
		}
		assert.Equal(t, c.want, d.deliver(header, body).Code, name)
	}
	assert.Equal(t, 401, d.deliver(signed(t, secret(1), "k", now, body), append(body, ' ')).Code, "altered body")
	assert.Equal(t, map[string]int{"good": 1, "two": 1}, d.core.runs)
	assert.Equal(t, int64(10), d.receiver.Counters().Unauthenticated)
}
