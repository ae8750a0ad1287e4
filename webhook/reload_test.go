package webhook

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
)

// reload puts the given classes into force.
func (d *testFront) reload(reloaded ...classes.Definition) {
	next, _ := d.classes.Table().Next(reloaded)
	d.classes.Replace(next)
}

// Guards against calls that run twice after a reload: a message takes the rules that its class has
// when the message comes, not those of the start.
func TestMessageTakesRulesInForce(t *testing.T) {
	d := newTestFront(t, "")
	var numbers []int
	d.core.answer = func(request oakthread.Request) (oakthread.Answer, error) {
		numbers = append(numbers, request.Class)
		return oakthread.Answer{Outcome: oakthread.Failed}, nil
	}
	now, body := time.Now(), requestBody("path-check", testFunction, "x")
	deliver := func(id string, after time.Duration) int {
		return d.deliver(signed(t, secret(1), id, now.Add(after), body), body).Code
	}
	require.Equal(t, 502, deliver("before", 0))
	require.Equal(t, 502, deliver("before", time.Second), "idempotent: executed again")
	d.reload(classes.Definition{Name: "path-check", Rules: classRules(balancer.NotIdempotent)})
	require.Equal(t, 502, deliver("after", 0))
	require.Equal(t, 502, deliver("after", time.Second), "not idempotent: from the receipt")
	require.Equal(t, 502, deliver("before", 2*time.Second), "no longer idempotent: from the receipt")
	assert.Equal(t, []int{0, 0, 2}, numbers, "of the class, by execution")

	dropped := requestBody("path-book", testFunction, "x")
	assert.Equal(t, 400, d.deliver(signed(t, secret(1), "dropped", now, dropped), dropped).Code)
}

// Guards against calls of a class that a reload made non-idempotent where no receipt would outlast
// the process.
func TestStatelessFrontRejectsClassThatBecameNonIdempotent(t *testing.T) {
	d := newTestFront(t, "")
	d.receiver.isStateless = true
	body := requestBody("path-book", testFunction, "x")
	w := d.deliver(signed(t, secret(1), "m", time.Now(), body), body)
	assert.Equal(t, http.StatusBadRequest, w.Code)
	assert.Contains(t, w.Body.String(), "no state file")
	assert.Zero(t, d.core.runs["m"])
}

// Guards against a crash at the first completion of a class that a reload added or changed, and
// against its notification under a wrong name.
func TestCompletionOfReloadedClassIsNotified(t *testing.T) {
	received := make(chan completionData, 4)
	operator := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body struct{ Data completionData }
		_ = json.NewDecoder(r.Body).Decode(&body)
		received <- body.Data
	}))
	defer operator.Close()
	d := newTestFront(t, operator.URL)
	changed := classRules(balancer.NotIdempotent)
	changed.LatencyObjective = 1
	d.reload(classes.Definition{Name: "path-walk"}, classes.Definition{Name: "path-book", Rules: changed})
	for class, id := range map[int]string{1: "replaced in flight", 2: "added", 3: "changed"} {
		d.notifier.HandleCompletion(oakthread.Completion{Request: oakthread.Request{Class: class, ID: id}})
	}
	first, second := <-received, <-received
	assert.ElementsMatch(t, []string{"replaced in flight", "changed"}, []string{first.CallID, second.CallID})
	assert.Equal(t, []string{"path-book", "path-book"}, []string{first.Class, second.Class})
}
