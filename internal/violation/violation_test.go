package violation

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestViolationsAreCountedAndLoggedOnceASecond checks that every violation is counted, and that
// several within one second write a single log line.
func TestViolationsAreCountedAndLoggedOnceASecond(t *testing.T) {
	var log bytes.Buffer
	r := &Recorder{Log: slog.New(slog.NewTextHandler(&log, nil))}
	assert.Zero(t, r.Total())
	for range 3 {
		r.Record(RuleAtMostOnce, PathAttemptEnd, "id1", "it ran twice")
	}
	r.Record(RuleAnswered, PathAccept, "id2", "")
	assert.Equal(t, map[Key]int64{{RuleAtMostOnce, PathAttemptEnd}: 3, {RuleAnswered, PathAccept}: 1}, r.Counts())
	assert.EqualValues(t, 4, r.Total())
	assert.Equal(t, 1, bytes.Count(log.Bytes(), []byte("rule violated")))
	assert.Contains(t, log.String(), "request_id=id1")
	(&Recorder{}).Record(RuleAtMostOnce, PathAnswer, "", "") // no logger
}
