package webhook

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
)

// startOperator starts an operator's endpoint that accepts every notification. It returns its URL and
// a channel that receives the call ids of the notifications.
func startOperator(t *testing.T) (url string, ids chan string) {
	t.Helper()
	ids = make(chan string, 64)
	operator := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body struct{ Data completionData }
		_ = json.NewDecoder(r.Body).Decode(&body)
		ids <- body.Data.CallID
	}))
	t.Cleanup(operator.Close)
	return operator.URL, ids
}

// sharedState holds what the processes of one dispatcher share: the options with the state file.
type sharedState struct {
	t       *testing.T
	options *Options
	wrap    func(net.Listener) net.Listener // of each process's listener; nil: as it is
}

func newSharedState(t *testing.T, notifyURL string) *sharedState {
	t.Helper()
	dir := t.TempDir()
	keys := filepath.Join(dir, "keys")
	require.NoError(t, os.WriteFile(keys, []byte(secret(1)), 0o600))
	options := &Options{
		State:           filepath.Join(dir, "state.db"),
		NotifiedClasses: []string{"path-book"},
		Operators:       []Operator{{Name: "a", Tenant: tenants[0], KeysFile: keys, NotifyURL: notifyURL}},
	}
	require.NoError(t, options.applyDefaults())
	return &sharedState{t: t, options: options}
}

// frontProcess stands for a process with a front and a core.
type frontProcess struct {
	*Front
	t         *testing.T
	core      *fakeCore
	listening chan string // receives the address once the front listens
	completed chan struct{}
	cancel    context.CancelFunc
	ended     chan error
}

// start starts a process.
func (s *sharedState) start() *frontProcess {
	s.t.Helper()
	p := &frontProcess{
		t: s.t, core: newFakeCore(), listening: make(chan string, 1),
		completed: make(chan struct{}), ended: make(chan error, 1),
	}
	var err error
	p.Front, err = Open(s.options, p.core, classSource(), tenants, nil, discardLog)
	require.NoError(s.t, err)
	listen := func() (net.Listener, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			p.listening <- ln.Addr().String()
		}
		if err == nil && s.wrap != nil {
			return s.wrap(ln), nil
		}
		return ln, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.ended <- p.Serve(ctx, listen, nil, Drain{Completed: p.completed}) }()
	return p
}

// stop ends a process whose core reports no further completion.
func (p *frontProcess) stop() {
	p.t.Helper()
	p.cancel()
	close(p.completed)
	require.NoError(p.t, <-p.ended)
}

// complete has the core report the completion of a call at another front.
func (p *frontProcess) complete(id string) {
	p.HandleCompletion(oakthread.Completion{Request: oakthread.Request{ID: id, Class: 1}})
}

// book sends a path-book message, signed at a time, and returns the status, and whether the outcome
// was recorded before.
func (p *frontProcess) book(addr, id string, at time.Time) (status int, recorded bool) {
	response, err := http.DefaultClient.Do(bookingMessage(p.t, addr, id, at))
	if !assert.NoError(p.t, err) {
		return 0, false
	}
	response.Body.Close()
	return response.StatusCode, response.Header.Get("Oakthread-Recorded") == "1"
}

// bookingMessage returns a path-book message that is signed at a time.
func bookingMessage(t *testing.T, addr, id string, at time.Time) *http.Request {
	t.Helper()
	body := requestBody("path-book", testFunction, "x")
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header = signed(t, secret(1), id, at, body)
	return request
}

// Guards against an upgrade that fails because both versions need the state file, and against bookings
// that run at both: the next process starts beside the one that has the file, sends notifications
// from a spool, accepts messages once the other gives up its turn, and admits them once the other has
// recorded its last outcome.
func TestNextProcessTakesStateFileOver(t *testing.T) {
	url, ids := startOperator(t)
	state := newSharedState(t, url)
	first := state.start()
	addr := <-first.listening
	running, release := make(chan bool), make(chan bool)
	first.core.answer = func(oakthread.Request) (oakthread.Answer, error) {
		running <- true
		<-release
		return oakthread.Answer{Outcome: oakthread.Served}, nil
	}
	now, status := time.Now(), make(chan int, 1)
	go func() {
		got, _ := first.book(addr, "m", now)
		status <- got
	}()
	<-running

	second := state.start()
	assert.True(t, second.IsStandby())
	second.complete("at the second")
	assert.Equal(t, "at the second", <-ids)
	assert.Empty(t, second.listening, "the first accepts messages")

	first.cancel()
	addr = <-second.listening
	type reply struct {
		status   int
		recorded bool
	}
	replies := make(chan reply, 1)
	go func() {
		got, recorded := second.book(addr, "m", now.Add(time.Second)) // the sender tries again
		replies <- reply{got, recorded}
	}()
	close(release)
	assert.Equal(t, 200, <-status)
	assert.NotEmpty(t, <-ids, "of the booking")
	assert.True(t, second.IsStandby(), "the core of the first still reports completions")
	first.complete("late, at the first")
	first.stop()
	assert.Equal(t, reply{200, true}, <-replies)
	assert.Equal(t, "late, at the first", <-ids)
	assert.Empty(t, second.core.runs, "it ran at the first")
	got, _ := second.book(addr, "n", now)
	assert.Equal(t, 200, got)
	second.stop()
	left, err := filepath.Glob(state.options.State + "*")
	require.NoError(t, err)
	assert.Equal(t, []string{state.options.State, state.options.State + turnSuffix}, left)
}

// Guards against messages that wait forever because the previous process does not end: they are
// rejected when the waiting process shuts down.
func TestWaitingMessagesAreTurnedAwayAtTheEnd(t *testing.T) {
	state := newSharedState(t, "")
	holder, err := OpenStore(state.options.State, 10)
	require.NoError(t, err)
	defer holder.Close()
	require.NoError(t, os.WriteFile(state.options.State+turnSuffix, nil, 0o600)) // the holder had the turn
	process := state.start()
	<-process.listening
	status := make(chan int, 1)
	go func() {
		recorder := httptest.NewRecorder()
		process.ServeHTTP(recorder, bookingMessage(t, "front", "m", time.Now()))
		status <- recorder.Code
	}()
	process.stop()
	assert.Equal(t, 503, <-status)
	assert.Empty(t, process.core.runs)
}

// Guards against notifications that are lost with a process that is killed before it has the state
// file: the process that has the file delivers them. The spool of a running process is left alone.
func TestSpoolOfKilledProcessIsRecovered(t *testing.T) {
	url, ids := startOperator(t)
	state := newSharedState(t, url)
	killed, err := openSpool(state.options.State, 10)
	require.NoError(t, err)
	body, err := json.Marshal(map[string]any{"data": completionData{CallID: "of the killed"}})
	require.NoError(t, err)
	require.NoError(t, killed.enqueue([]*notification{{ID: "x", Operator: "a", Body: body, CreatedAt: time.Now()}}))
	running, err := openSpool(state.options.State, 10)
	require.NoError(t, err)
	require.NoError(t, killed.db.Close()) // like a kill; Close would move the notifications

	owner := state.start()
	<-owner.listening
	assert.Equal(t, "of the killed", <-ids)
	assert.NoFileExists(t, killed.spoolPath)
	assert.FileExists(t, running.spoolPath)
	require.NoError(t, running.Close())
	assert.NoFileExists(t, running.spoolPath, "it held nothing")
	owner.stop()
}

// Guards against messages that a new version accepts at the same time as an earlier release, which has
// no turn: the new version listens once the earlier one has closed the state file.
func TestTakesOverFromReleaseWithoutTurn(t *testing.T) {
	state := newSharedState(t, "")
	earlier, err := OpenStore(state.options.State, 10)
	require.NoError(t, err)
	next := state.start()
	assert.True(t, next.IsStandby())
	assert.Empty(t, next.listening)
	require.NoError(t, earlier.Close())
	status, _ := next.book(<-next.listening, "m", time.Now())
	assert.Equal(t, 200, status)
	next.stop()
}
