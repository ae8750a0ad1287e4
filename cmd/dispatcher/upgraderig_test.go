package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	upgradeWorkers = 3
	// clientPause is the time between two calls of a client, and between two messages of the sender.
	clientPause = 15 * time.Millisecond
	// upgradeTimeout bounds each wait of the test for something that must happen.
	upgradeTimeout = 20 * time.Second
)

// upgradeRig is one dispatcher whose processes are replaced while clients and a sender of webhooks
// use it. It records what its workers, clients and operators observe.
type upgradeRig struct {
	t            *testing.T
	folder       string
	addr         string
	webhookAddr  string // empty: no webhook front
	operatorFile string
	workers      []string // addresses
	stop         chan struct{}
	clients      sync.WaitGroup
	stopOnce     sync.Once

	notificationsRefused atomic.Bool
	lossesExcused        atomic.Bool // a process is killed: what it had taken may be lost
	sequence             atomic.Int64

	mu       sync.Mutex
	runs     map[string]int // by body
	lastRun  map[string]time.Time
	served   map[string]bool // bodies of bookings answered 200
	notified map[string]bool // by call id or message id
	lost     []string        // calls and messages that got no answer
}

// newUpgradeRig starts the workers and the operator's endpoint.
func newUpgradeRig(t *testing.T, webhooks bool) *upgradeRig {
	t.Helper()
	r := &upgradeRig{
		t: t, folder: t.TempDir(), addr: unusedAddr(t), stop: make(chan struct{}),
		runs: map[string]int{}, lastRun: map[string]time.Time{},
		served: map[string]bool{}, notified: map[string]bool{},
	}
	for i := range upgradeWorkers {
		r.workers = append(r.workers, startWorker(t, r.worker(fmt.Sprint("s-", i+1))))
	}
	if webhooks {
		r.webhookAddr = unusedAddr(t)
		operator := startWorker(t, r.receiveNotification)
		require.NoError(t, os.WriteFile(filepath.Join(r.folder, "keys"), []byte(webhookKey(1)), 0o600))
		r.operatorFile = filepath.Join(r.folder, "oakthread.toml")
		text := fmt.Sprintf("[webhooks]\nlisten=%q\nstate='state.db'\nnotify=['path-book']\nretry='20ms'\n"+
			"retry_max='40ms'\n[[webhooks.operator]]\nname='a'\ntenant='a'\nkeys_file='keys'\nnotify='http://%s'\n",
			r.webhookAddr, operator)
		require.NoError(t, os.WriteFile(r.operatorFile, []byte(text), 0o600))
	}
	r.configure(`"read_like"`)
	return r
}

// configure writes the configuration, in which path-check has the given idempotency.
func (r *upgradeRig) configure(idempotency string) {
	r.t.Helper()
	members := make([]string, 0, len(r.workers))
	for i, addr := range r.workers {
		members = append(members, fmt.Sprintf(`{"id":"s-%d","host_port":%q,"phase":"Ready","size":1}`, i+1, addr))
	}
	class := `{"name":%q,"aim_ns":400000000,"give_up_ns":1500000000,"credit":1,"idempotency":%s}`
	classes := fmt.Sprintf(class, "path-check", idempotency) + "," + fmt.Sprintf(class, "path-book", `"non_idempotent"`)
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,`+
		`"members":[%s]}}]},"settings":{"categories":[%s],"customers":[{"name":"a","allowance_per_s":100}],`+
		`"quantum_ns":4000000,"permissions":{"send_cap":3,"cancel":true,"connect_timeout_ns":250000000,`+
		`"conn_idle_ns":15000000000},"specifics":{"linger_idle_ns":8000000000,"on_miss":"load"}}}`,
		r.addr, strings.Join(members, ","), classes)
	require.NoError(r.t, os.WriteFile(filepath.Join(r.folder, "config.json"), []byte(config), 0o600))
}

// worker answers calls with their body, after it has counted them. It cuts the connection of the
// first call of a body that asks for it, after it ran.
func (r *upgradeRig) worker(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		r.mu.Lock()
		if len(body) > 0 {
			r.runs[string(body)]++
			r.lastRun[id] = time.Now()
		}
		first := r.runs[string(body)] == 1
		r.mu.Unlock()
		if first && strings.HasPrefix(string(body), "cut ") {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body)
	}
}

// receiveNotification is the operator's endpoint.
func (r *upgradeRig) receiveNotification(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Data struct {
			CallID    string `json:"call_id"`
			MessageID string `json:"message_id"`
		}
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	if r.notificationsRefused.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notified[body.Data.CallID], r.notified[body.Data.MessageID] = true, true
}

// upgradeProcess is a process of the dispatcher.
type upgradeProcess struct {
	*exec.Cmd
	rig     *upgradeRig
	console string
	lines   chan string
	ended   chan struct{}
}

// startProcess starts a process and returns once it serves clients.
func (r *upgradeRig) startProcess() *upgradeProcess {
	r.t.Helper()
	p := &upgradeProcess{rig: r, console: unusedAddr(r.t), lines: make(chan string, 4096), ended: make(chan struct{})}
	args := []string{"serve"}
	if r.operatorFile != "" {
		args = append(args, "--config", r.operatorFile)
	}
	p.Cmd = exec.CommandContext(r.t.Context(), os.Args[0], args...)
	p.Env = append(os.Environ(), runAsProgramEnv+"=1", "TMPDIR="+r.folder,
		"ROUTER_CONFIG="+filepath.Join(r.folder, "config.json"), "ROUTER_CONSOLE="+p.console)
	stderr, err := p.StderrPipe()
	require.NoError(r.t, err)
	require.NoError(r.t, p.Start())
	go func() {
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			p.lines <- scanner.Text()
		}
		_ = p.Wait()
		close(p.ended)
	}()
	p.await("msg=serving")
	return p
}

// await waits for a log line that contains text.
func (p *upgradeProcess) await(text string) {
	p.rig.t.Helper()
	timeout := time.After(upgradeTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, text) {
				return
			}
		case <-p.ended:
			p.rig.t.Fatalf("the process ended before it logged %q: %v", text, p.ProcessState)
		case <-timeout:
			p.rig.t.Fatalf("the process did not log %q", text)
		}
	}
}

// signal sends a signal to the process.
func (p *upgradeProcess) signal(signal syscall.Signal) {
	p.rig.t.Helper()
	require.NoError(p.rig.t, p.Process.Signal(signal))
}

// awaitEnd waits until the process has ended after SIGTERM, with exit code 0.
func (p *upgradeProcess) awaitEnd() {
	p.rig.t.Helper()
	select {
	case <-p.ended:
		assert.Zero(p.rig.t, p.ProcessState.ExitCode(), "after SIGTERM")
	case <-time.After(upgradeTimeout):
		p.rig.t.Fatal("the process did not end after SIGTERM")
	}
}

// kill ends the process at once. What it had taken may be lost from then on.
func (p *upgradeProcess) kill() {
	p.rig.t.Helper()
	p.rig.lossesExcused.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// decide makes an operator's decision at the console of the process.
func (p *upgradeProcess) decide(decision string) {
	p.rig.t.Helper()
	response, err := http.Post("http://"+p.console+"/control/executors/"+decision, "", nil)
	require.NoError(p.rig.t, err)
	response.Body.Close()
	require.Equal(p.rig.t, 200, response.StatusCode)
}

// startClients starts two clients of the platform's port and, with webhooks, a sender of messages.
func (r *upgradeRig) startClients() {
	for _, class := range []string{"path-check", "path-book"} {
		r.clients.Go(func() { r.repeat(func(n int64) { r.call(class, n) }) })
	}
	if r.webhookAddr != "" {
		r.clients.Go(func() { r.repeat(r.book) })
	}
	r.t.Cleanup(r.stopClients)
}

// repeat calls send, with a number of its own, until the clients are stopped. It does not wait for
// the answer before the next one.
func (r *upgradeRig) repeat(send func(n int64)) {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(clientPause):
		}
		sends.Go(func() { send(r.sequence.Add(1)) })
	}
}

// stopClients stops the clients and waits until each call and message has its answer.
func (r *upgradeRig) stopClients() {
	r.stopOnce.Do(func() { close(r.stop) })
	r.clients.Wait()
}

// newConnection is the transport of a client that makes a connection for each call.
var newConnection = &http.Transport{DisableKeepAlives: true}

// call sends a call of a class to the platform's port on a connection of its own.
func (r *upgradeRig) call(class string, n int64) {
	id, body := fmt.Sprintf("%016x", n), fmt.Sprint(class, " ", n)
	url := "http://" + r.addr + "/call/" + function + "/trigger"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header = http.Header{
		"X-Class": {class}, "X-Call-Id": {id}, "X-Patience-Ms": {"1500"}, "X-Customer": {"a"},
	}
	response, err := (&http.Client{Transport: newConnection, Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		r.noteLoss(body, err)
		return
	}
	response.Body.Close()
	if response.StatusCode == http.StatusOK && class == "path-book" {
		r.noteServed(id)
	}
}

// book sends a message that asks for a booking, and sends it again, signed anew, until it is
// answered 200, as senders do.
func (r *upgradeRig) book(n int64) {
	id, slot := fmt.Sprint("m", n), fmt.Sprint("slot ", n)
	body := r.message("path-book", slot)
	at := time.Now()
	for attempt := range 8 {
		status, err := r.postMessage(id, at.Add(time.Duration(attempt)*time.Second), body)
		switch {
		case err != nil:
			r.noteLoss(slot, err)
			time.Sleep(50 * time.Millisecond) // as senders do; nothing is ordered by it
		case status == http.StatusOK:
			r.noteServed(id)
			return
		case status == http.StatusBadGateway: // it may have run: final
			return
		}
	}
	r.noteLoss(slot, errors.New("eight attempts"))
}

// message returns the body of a message that asks for a call of a class.
func (r *upgradeRig) message(class, body string) string {
	return fmt.Sprintf(`{"type":"%s.requested","data":{"function":%q,"body":%q}}`,
		class, function, base64.StdEncoding.EncodeToString([]byte(body)))
}

// postMessage sends a message once and returns the status.
func (r *upgradeRig) postMessage(id string, at time.Time, body string) (status int, err error) {
	key, err := standardwebhooks.NewWebhook(webhookKey(1))
	if err != nil {
		return 0, err
	}
	signature, err := key.Sign(id, at, []byte(body))
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.webhookAddr, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header = http.Header{
		"Webhook-Id": {id}, "Webhook-Timestamp": {fmt.Sprint(at.Unix())}, "Webhook-Signature": {signature},
	}
	response, err := (&http.Client{Transport: newConnection, Timeout: 15 * time.Second}).Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// noteLoss records a call or message without an answer, unless a process has been killed.
func (r *upgradeRig) noteLoss(body string, err error) {
	if r.lossesExcused.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, body+": "+err.Error())
}

// noteServed records a booking that was answered 200, by the id that its notification names.
func (r *upgradeRig) noteServed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served[id] = true
}

// runsOf returns how often a body ran.
func (r *upgradeRig) runsOf(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}

// served200 returns the number of bookings that were answered 200 so far.
func (r *upgradeRig) served200() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.served)
}

// awaitServed waits until count further bookings are answered 200.
func (r *upgradeRig) awaitServed(count int) {
	r.t.Helper()
	want := r.served200() + count
	require.Eventually(r.t, func() bool { return r.served200() >= want }, upgradeTimeout, time.Millisecond)
}

// untold returns the ids of the bookings answered 200 that the operator has not been notified of.
func (r *upgradeRig) untold() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.served {
		if !r.notified[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// check checks the rules once the clients have stopped: every call and message was answered, no
// booking ran twice, and each one answered 200 is notified.
func (r *upgradeRig) check() {
	r.t.Helper()
	r.stopClients()
	if r.webhookAddr != "" {
		assert.Eventually(r.t, func() bool { return len(r.untold()) == 0 }, upgradeTimeout, 10*time.Millisecond)
		assert.Empty(r.t, r.untold(), "answered 200 and never notified")
	}
	r.mu.Lock()
	assert.Empty(r.t, r.lost, "taken and never answered")
	r.mu.Unlock()
	r.checkRuns()
}

// checkRuns checks that no booking ran twice.
func (r *upgradeRig) checkRuns() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for body, count := range r.runs {
		if !strings.HasPrefix(body, "path-check") {
			assert.Equal(r.t, 1, count, body)
		}
	}
}
