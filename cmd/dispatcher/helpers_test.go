package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/cli"
)

// Environment variables that the test binary reads.
const (
	// runAsProgramEnv, if set, makes the binary run the program itself, so that signals and exit
	// codes are real.
	runAsProgramEnv = "OAKTHREAD_AS_PROGRAM"
	// fdLimitEnv sets the limit of open file descriptors of the program.
	fdLimitEnv = "OAKTHREAD_DESCRIPTORS"
)

const (
	function = "7f3a9c21e0b4d655"
	callID   = "9b1f03aa5c7e2d41"
)

// settings are the platform settings of a deployment with one class.
const settings = `{"categories":[{"name":"path-check","aim_ns":400000000,"give_up_ns":5000000000,"credit":1,` +
	`"idempotency":"read_like"}],
"quantum_ns":4000000,
"permissions":{"send_cap":3,"cancel":true,"connect_timeout_ns":250000000,"conn_idle_ns":15000000000},
"specifics":{"linger_idle_ns":8000000000,"on_miss":"load"}}`

func TestMain(m *testing.M) {
	if description := os.Getenv(runAsAbusersEnv); description != "" {
		if err := runAbusers(description); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if os.Getenv(runAsProgramEnv) == "" {
		os.Exit(m.Run())
	}
	if n, err := strconv.ParseUint(os.Getenv(fdLimitEnv), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
	}
	main()
}

// configuration returns a configuration with a limit of 120 sockets and an endpoint list, which may
// be empty.
func configuration(listen, channel, list, settings string) string {
	cursor := 0
	if list != "" {
		cursor = 1
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"channel":%q,"limits":{"cores":1,"memory_mb":192,"sockets":120},`+
		`"known":{"cursor":%d,"cmds":[%s]},"settings":%s}`, listen, channel, cursor, list, settings)
}

// endpointList returns an endpoint list event that contains one worker.
func endpointList(addr string) string {
	return fmt.Sprintf(`{"cursor":1,"nodes":{"complete":true,"members":[`+
		`{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]}}`, addr)
}

// environ writes the configuration to a file and returns an environment that names it.
func environ(t *testing.T, config string) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	return func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
}

// run runs the program within the test process. The limits of the process are left as they are,
// since the workers, relays and clients of other tests run in it.
func run(ctx context.Context, getenv func(string) string, log *slog.Logger, args ...string) error {
	env := cli.Env{Getenv: getenv, Out: io.Discard, Err: io.Discard, Log: log, SharedProcess: true}
	return cli.Run(ctx, env, args)
}

// logLines is a log writer that passes on each line.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// await waits for a line that contains text.
func (l logLines) await(text string) {
	for !strings.Contains(<-l, text) {
	}
}

// awaitAll waits until each of texts was in a line, in any order.
func (l logLines) awaitAll(texts ...string) {
	for len(texts) > 0 {
		line := <-l
		texts = slices.DeleteFunc(texts, func(text string) bool { return strings.Contains(line, text) })
	}
}

// daemon is the program running within the test process.
type daemon struct {
	log  logLines
	stop func() // shuts it down and waits for its end
}

// startDaemon runs the program within the test process until it is stopped.
func startDaemon(t *testing.T, config string, args ...string) daemon {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	log, ended := make(logLines, 1024), make(chan error, 1)
	getenv := environ(t, config)
	go func() { ended <- run(ctx, getenv, slog.New(slog.NewTextHandler(log, nil)), args...) }()
	return daemon{log: log, stop: func() {
		cancel()
		require.NoError(t, <-ended)
	}}
}

// process is the program running as a separate process.
type process struct {
	*exec.Cmd

	t          *testing.T
	configPath string
	log        *bufio.Scanner
}

// startProcess starts the program as a separate process with a configuration and further
// environment variables.
func startProcess(t *testing.T, config string, env ...string) *process {
	t.Helper()
	return startBinary(t, os.Args[0], config, append(env, runAsProgramEnv+"=1")...)
}

// startBinary starts a binary of the program as a separate process with a configuration and further
// environment variables.
func startBinary(t *testing.T, path, config string, env ...string) *process {
	t.Helper()
	configPath := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(configPath, []byte(config), 0o600))
	cmd := exec.CommandContext(t.Context(), path)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+t.TempDir()), append(env, "ROUTER_CONFIG="+configPath)...)
	out, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	return &process{Cmd: cmd, t: t, configPath: configPath, log: bufio.NewScanner(out)}
}

// await reads the log up to a line that contains text.
func (p *process) await(text string) {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return
		}
	}
	p.t.Fatal("the program ended before it logged", text)
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.Process.Signal(signal))
}

// awaitExit waits until the program has logged that it ended and has exited with code 0.
func (p *process) awaitExit() {
	p.t.Helper()
	p.await("msg=ended")
	require.NoError(p.t, p.Wait(), "exit code 0")
}

// addresses counts the loopback addresses that unusedAddr has returned.
var addresses atomic.Uint32

// unusedAddr returns an address on a loopback IP of its own, so that no other socket of the tests
// takes the port while nobody listens on it.
func unusedAddr(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n/250%250, 1+n%250))
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startWorker starts a worker and returns its address.
func startWorker(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// echo responds with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// send sends a call to a dispatcher and returns the status, body and HTTP major version of the
// response.
func send(t *testing.T, client *http.Client, addr, function, class, id string) (status int, body string, protocol int) {
	t.Helper()
	url := "http://" + addr + "/call/" + function + "/trigger"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("x"))
	require.NoError(t, err)
	req.Header = http.Header{"X-Class": {class}, "X-Call-Id": {id}, "X-Patience-Ms": {"5000"}}
	resp, err := client.Do(req)
	if !assert.NoError(t, err) {
		return 0, "", 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text), resp.ProtoMajor
}

// call sends a call of the test function over HTTP/1.1.
func call(t *testing.T, addr, class, id string) (status int, body string) {
	t.Helper()
	status, body, _ = send(t, http.DefaultClient, addr, function, class, id)
	return status, body
}

// ping returns the status of the readiness check.
func ping(t *testing.T, client *http.Client, addr string) (status int) {
	t.Helper()
	resp, err := client.Get("http://" + addr + "/ping")
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// awaitReady waits until the readiness check succeeds.
func awaitReady(t *testing.T, client *http.Client, addr string) {
	t.Helper()
	for ping(t, client, addr) != http.StatusOK {
	}
}
