package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// leastMemoryMB is the least memory that a dispatcher gets, and mostSockets the most descriptors.
	leastMemoryMB = 32
	mostSockets   = 1024
	// usualClients are the clients that keep to the protocol; each sends usualCalls calls, with
	// usualPause between an answer and the next call.
	usualClients = 10
	usualCalls   = 100
	usualPause   = 20 * time.Millisecond
	usualTimeout = 250 * time.Millisecond
	// workTime is how long a worker works on a call.
	workTime = 15 * time.Millisecond
	// lostAfter is how late an answer may be before its call counts as lost.
	lostAfter = 500 * time.Millisecond
	// minServedRatio is the share of the usual calls that is served, whatever other clients do.
	minServedRatio = 0.9
)

// abuseRig is a dispatcher with little memory, one worker, and clients that keep to the protocol
// beside clients that do not. The program is built without the race detector, which multiplies its
// memory. The other clients run in a process of their own: within this one they would delay the
// worker and the usual clients.
type abuseRig struct {
	t       *testing.T
	addr    string
	program *process
	client  *http.Client
	callIDs atomic.Uint64

	asked, served, lost atomic.Int64
}

func newAbuseRig(t *testing.T) *abuseRig {
	t.Helper()
	r := &abuseRig{
		t: t, addr: unusedAddr(t),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: usualClients},
			Timeout:   usualTimeout + lostAfter + time.Second,
		},
	}
	worker := startWorker(t, func(w http.ResponseWriter, request *http.Request) {
		time.Sleep(workTime)
		w.Header().Set("X-Tell", "hit")
		echo(w, request)
	})
	limits := fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, leastMemoryMB, mostSockets)
	config := strings.Replace(configuration(r.addr, "", endpointList(worker), settings),
		`"memory_mb":192,"sockets":120`, limits, 1)
	r.program = startBinary(t, buildProgram(t), config)
	r.program.await("msg=serving")
	go func() { // the program must not wait for a reader of its log
		for r.program.log.Scan() {
		}
	}()
	awaitReady(t, r.client, r.addr)
	return r
}

// buildProgram builds the program as it is deployed and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "dispatcher")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// checkBeside has the usual clients send their calls beside other clients, which do what crowds or
// floods have under a name, and checks that the program stayed within its memory and that the usual
// calls were served.
func (r *abuseRig) checkBeside(clients int, name string) {
	r.t.Helper()
	stopAbusers := r.startAbusers(clients, name)
	var usual sync.WaitGroup
	for range usualClients {
		usual.Go(r.runUsualClient)
	}
	usual.Wait()
	answers := stopAbusers()
	peak := r.peakMemory()
	r.t.Logf("peak memory %.1f MB; of %d usual calls %d served in time, %d lost; %s",
		float64(peak)/(1<<20), r.asked.Load(), r.served.Load(), r.lost.Load(), answers)
	assert.Less(r.t, peak, leastMemoryMB<<20, "peak memory")
	assert.Zero(r.t, r.lost.Load(), "usual calls without an answer, or with one that is too late")
	assert.GreaterOrEqual(r.t, float64(r.served.Load()), minServedRatio*float64(r.asked.Load()), "usual calls served")
}

// startAbusers starts a process of clients that do not keep to the protocol. Its result ends them and
// returns what they say of their answers.
func (r *abuseRig) startAbusers(clients int, name string) (stop func() string) {
	r.t.Helper()
	cmd := exec.CommandContext(r.t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runAsAbusersEnv+"="+fmt.Sprintf("%s|%d|%s", r.addr, clients, name))
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, os.Stderr
	input, err := cmd.StdinPipe()
	require.NoError(r.t, err)
	require.NoError(r.t, cmd.Start())
	return func() string {
		require.NoError(r.t, input.Close())
		require.NoError(r.t, cmd.Wait())
		return output.String()
	}
}

// runUsualClient sends calls one after the other and counts how they end.
func (r *abuseRig) runUsualClient() {
	for range usualCalls {
		r.asked.Add(1)
		began := time.Now()
		status := r.sendUsualCall()
		switch took := time.Since(began); {
		case status == 0 || took > usualTimeout+lostAfter:
			r.lost.Add(1)
		case status == http.StatusOK && took <= usualTimeout:
			r.served.Add(1)
		}
		time.Sleep(usualPause)
	}
}

// sendUsualCall sends a call and returns the status of its answer, 0 if there is none.
func (r *abuseRig) sendUsualCall() int {
	url := "http://" + r.addr + "/call/" + function + "/trigger"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		return 0
	}
	request.Header = http.Header{
		"X-Class": {"path-check"}, "X-Call-Id": {r.newCallID()},
		"X-Patience-Ms": {fmt.Sprint(usualTimeout.Milliseconds())},
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (r *abuseRig) newCallID() string { return fmt.Sprintf("%016x", r.callIDs.Add(1)) }

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the largest resident set of the program so far, in bytes.
func (r *abuseRig) peakMemory() int {
	r.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.program.Process.Pid))
	require.NoError(r.t, err)
	match := peakPattern.FindSubmatch(status)
	require.NotNil(r.t, match, "the program has ended")
	kilobytes, err := strconv.Atoi(string(match[1]))
	require.NoError(r.t, err)
	return kilobytes << 10
}
