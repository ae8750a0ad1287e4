package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// configFormat is the format of a platform configuration. Its arguments are the address of the
// daemon, those of two workers, the classes and the number of attempts.
const configFormat = `{"name":"n0","listen":%q,
"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[
{"id":"s-1","host_port":%q,"phase":"Ready","size":1},{"id":"s-2","host_port":%q,"phase":"Ready","size":1}]}}]},
"settings":{"categories":[%s],"quantum_ns":4000000,"permissions":{"send_cap":%d,"cancel":true,
"connect_timeout_ns":250000000,"conn_idle_ns":15000000000},
"specifics":{"linger_idle_ns":8000000000,"on_miss":"load"}}}`

// Functions that fakeWorkers treats specially, and one that it does not.
const (
	fullFunction    = "00000000000000f0" // rejected by every worker
	blockedFunction = "00000000000000aa" // answered once the test allows it
	otherFunction   = "00000000000000bb"
)

// classConfig returns the configuration of classes with the given names.
func classConfig(names ...string) string {
	classes := make([]string, len(names))
	for i, name := range names {
		classes[i] = fmt.Sprintf(`{"name":%q,"aim_ns":400000000,"give_up_ns":5000000000,"credit":1,`+
			`"idempotency":"read_like"}`, name)
	}
	return strings.Join(classes, ",")
}

// fakeWorkers are the workers of a test. They count attempts by path and function.
type fakeWorkers struct {
	blocked chan struct{} // receives a value for each attempt of blockedFunction
	unblock chan struct{}

	mu       sync.Mutex
	attempts map[string]int
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{blocked: make(chan struct{}, 1), unblock: make(chan struct{}), attempts: map[string]int{}}
}

// start starts a worker and returns its address.
func (f *fakeWorkers) start(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *fakeWorkers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	function := r.Header.Get("X-Thing")
	f.mu.Lock()
	f.attempts[r.URL.Path+" "+function]++
	f.mu.Unlock()
	switch function {
	case fullFunction:
		w.Header().Set("X-No-Effect", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case blockedFunction:
		f.blocked <- struct{}{}
		<-f.unblock
	}
}

// count returns the attempts for a function with the class in their path.
func (f *fakeWorkers) count(class, function string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts["/c/"+class+" "+function]
}

// runningDaemon is a daemon started by startDaemon.
type runningDaemon struct {
	t        *testing.T
	addr     string
	signals  chan os.Signal
	logLines chan string
	ended    chan error
	stop     context.CancelFunc

	mu       sync.Mutex
	requests int
}

// startDaemon starts a daemon and returns once it serves.
func startDaemon(t *testing.T, addr string, getenv func(string) string) *runningDaemon {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	d := &runningDaemon{
		t:        t,
		addr:     addr,
		signals:  make(chan os.Signal),
		logLines: make(chan string, 1024),
		ended:    make(chan error, 1),
		stop:     stop,
	}
	logReader, logWriter := io.Pipe()
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := logReader.Read(buffer)
			if err != nil {
				return
			}
			d.logLines <- string(buffer[:n])
		}
	}()
	log := slog.New(slog.NewTextHandler(logWriter, nil))
	go func() {
		d.ended <- Run(ctx, Options{Getenv: getenv, ReloadSignals: d.signals, Log: log, SharedProcess: true})
	}()
	d.awaitLog("msg=serving")
	return d
}

// awaitLog waits for a log line that contains text.
func (d *runningDaemon) awaitLog(text string) {
	for !strings.Contains(<-d.logLines, text) {
	}
}

// reload sends the daemon a SIGHUP and waits for the log line that reports the outcome.
func (d *runningDaemon) reload(outcome string) {
	d.signals <- syscall.SIGHUP
	d.awaitLog(outcome)
}

// request sends a request and returns the status of the response.
func (d *runningDaemon) request(class, function string) int {
	d.mu.Lock()
	d.requests++
	id := fmt.Sprintf("%016x", d.requests)
	d.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.addr+"/call/"+function+"/trigger", nil)
	require.NoError(d.t, err)
	req.Header = http.Header{"X-Class": {class}, "X-Call-Id": {id}, "X-Patience-Ms": {"5000"}}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// unusedAddr returns a loopback address on which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// A reload is applied to the server, the core and the workers: an added class is served under its
// name, a dropped class is unknown to new requests while a request in flight is still answered, and
// the number of attempts changes at once. An invalid configuration changes nothing.
func TestReloadAppliesClassesAndAttempts(t *testing.T) {
	workers := newFakeWorkers()
	first, second, addr := workers.start(t), workers.start(t), unusedAddr(t)
	config := func(maxAttempts int, classes ...string) string {
		return fmt.Sprintf(configFormat, addr, first, second, classConfig(classes...), maxAttempts)
	}
	path, getenv := configFile(t, config(2, "path-check", "route-price"))
	daemon := startDaemon(t, addr, getenv)

	assert.Equal(t, 200, daemon.request("path-check", otherFunction))
	assert.Equal(t, 400, daemon.request("path-book", otherFunction), "not yet a class")
	assert.Equal(t, 503, daemon.request("path-check", fullFunction))
	assert.Equal(t, 2, workers.count("path-check", fullFunction), "send_cap")
	inFlight := make(chan int, 1)
	go func() { inFlight <- daemon.request("route-price", blockedFunction) }()
	<-workers.blocked

	writeFile(t, path, config(1, "path-check", "path-book"))
	daemon.reload("configuration reloaded")
	assert.Equal(t, 200, daemon.request("path-book", "00000000000000cc"))
	assert.Equal(t, 1, workers.count("path-book", "00000000000000cc"))
	assert.Equal(t, 400, daemon.request("route-price", otherFunction), "no longer a class")
	assert.Equal(t, 503, daemon.request("path-check", fullFunction))
	assert.Equal(t, 3, workers.count("path-check", fullFunction), "one more attempt")

	writeFile(t, path, "{")
	daemon.reload("configuration not reloaded")
	assert.Equal(t, 200, daemon.request("path-book", "00000000000000cc"))
	close(workers.unblock)
	assert.Equal(t, 200, <-inFlight, "the request in flight keeps its class")
	assert.Equal(t, 1, workers.count("route-price", blockedFunction))
	daemon.stop()
	require.NoError(t, <-daemon.ended)
}
