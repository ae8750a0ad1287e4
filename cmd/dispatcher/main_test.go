package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	standardwebhooks "github.com/standard-webhooks/standard-webhooks/libraries/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/cli"
	"oakthread/internal/endpointcache"
	"oakthread/internal/lab"
)

const settings = `{"categories":[{"name":"path-check","aim_ns":400000000,"give_up_ns":5000000000,"credit":1,"idempotency":"read_like"}],
"quantum_ns":4000000,"permissions":{"send_cap":3,"cancel":true,"connect_timeout_ns":250000000,"conn_idle_ns":15000000000},
"specifics":{"linger_idle_ns":8000000000,"on_miss":"load"}}`

func environ(t *testing.T, config string) func(string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	return func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
}

func run(ctx context.Context, hup <-chan os.Signal, getenv func(string) string, args []string, log *slog.Logger) error {
	return cli.Run(ctx, cli.Env{Getenv: getenv, Hup: hup, Out: io.Discard, Err: io.Discard, Log: log}, args)
}

// Guards the start: a configuration that cannot be used ends it with one plain line.
func TestBadConfiguration(t *testing.T) {
	for config, want := range map[string]string{
		"{":                             "configuration",
		`{"listen":"127.0.0.1:0"}`:      "settings are missing",
		`{"settings":` + settings + `}`: "listen",
		`{"listen":"127.0.0.1:0","settings":{"categories":[{}]}}`: "settings",
	} {
		err := run(t.Context(), nil, environ(t, config), nil, slog.New(slog.DiscardHandler))
		if assert.Error(t, err, config) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	require.Error(t, run(t.Context(), nil, func(string) string { return "" }, nil, slog.New(slog.DiscardHandler)))
	require.Error(t, run(t.Context(), nil, environ(t, `{"listen":"127.0.0.1:0","settings":`+settings+`}`), []string{"-odd"}, slog.New(slog.DiscardHandler)))
}

// given counts the loopback numbers that freeAddr has given out.
var given atomic.Uint32

// freeAddr is an address on a loopback number that no other socket of the tests is given, also while nobody listens there yet.
func freeAddr(t *testing.T) string {
	n := given.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n/250%250, 1+n%250))
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// Tests that mostly wait for single programs, and two rigs whose bounds have much room, run beside each other, after all others.

// The test binary is the program itself where this is set, so that signals and exit codes are the real ones.
const asProgram = "OAKTHREAD_AS_PROGRAM"

// descriptors, where set, is how many the program may hold.
const descriptors = "OAKTHREAD_DESCRIPTORS"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		if n, err := strconv.ParseUint(os.Getenv(descriptors), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string, env ...string) (*exec.Cmd, *bufio.Scanner) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(append(os.Environ(), env...), asProgram+"=1", "ROUTER_CONFIG="+path)
	out, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	return cmd, bufio.NewScanner(out)
}

// Guards a planned restart: after SIGTERM a call in hand is answered, and only then does the program exit, with 0. What
// cannot start exits with 1 and says why in one line.
func TestSignalsAndExitCodes(t *testing.T) {
	t.Parallel()
	came, goOn := make(chan bool), make(chan bool)
	ex := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { came <- true; <-goOn }))
	defer ex.Close()
	addr := freeAddr(t)
	cmd, log := program(t, fmt.Sprintf(`{"listen":%q,"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[
		{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]}}]},"settings":%s}`, addr, ex.Listener.Addr(), settings))
	until := func(text string) {
		for log.Scan() {
			if strings.Contains(log.Text(), text) {
				return
			}
		}
		t.Fatal("the program ended before it said", text)
	}
	until("msg=serving")
	got := make(chan int, 1)
	go func() {
		req, _ := http.NewRequest("POST", "http://"+addr+"/call/7f3a9c21e0b4d655/trigger", nil)
		req.Header = http.Header{"X-Class": {"path-check"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"60000"}}
		if resp, err := http.DefaultClient.Do(req); assert.NoError(t, err) {
			got <- resp.StatusCode
		}
	}()
	<-came
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	until("ending: no new calls")
	close(goOn)
	assert.Equal(t, 200, <-got)
	until("msg=ended")
	require.NoError(t, cmd.Wait(), "exit code 0")

	cmd, log = program(t, "{")
	require.True(t, log.Scan())
	assert.Contains(t, log.Text(), "oakthread: configuration: ")
	assert.False(t, log.Scan(), "one line")
	var exit *exec.ExitError
	require.ErrorAs(t, cmd.Wait(), &exit)
	assert.Equal(t, 1, exit.ExitCode())
}

// Guards against an end by SIGHUP: the command channel moves at once, with its cursor, while the old address stays
// silent; a file that cannot be used changes nothing.
func TestReloadMovesTheChannel(t *testing.T) {
	t.Parallel()
	asked := make(chan string, 4)
	listen := func(name string) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				line, _ := bufio.NewReader(c).ReadString('\n')
				asked <- name + " " + strings.TrimSpace(line)
			}
		}()
		return ln.Addr().String()
	}
	old, now := listen("old"), listen("new")
	config := func(channel string) string {
		return fmt.Sprintf(`{"listen":%q,"channel":%q,"known":{"cursor":7,"cmds":[]},"settings":%s}`, freeAddr(t), channel, settings)
	}
	cmd, log := program(t, config(old))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "ROUTER_CONFIG=")
	assert.Equal(t, "old resume 7", <-asked)
	hup := func(file, until string) {
		require.NoError(t, os.WriteFile(path, []byte(file), 0o600))
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		for log.Scan() && !strings.Contains(log.Text(), until) {
		}
	}
	hup("{", "configuration not reloaded, the old one stays")
	hup(config(now), "command channel moved")
	assert.Equal(t, "new resume 7", <-asked)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	for log.Scan() {
	}
	require.NoError(t, cmd.Wait())
}

type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// Guards the wiring: the program serves a call of the platform's protocol and ends well when it is told to.
func TestProgramServes(t *testing.T) {
	t.Parallel()
	ex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) }))
	defer ex.Close()
	addr, streams := freeAddr(t), freeAddr(t)
	op := filepath.Join(t.TempDir(), "oakthread.toml")
	require.NoError(t, os.WriteFile(op, []byte("[http2]\nlisten = '"+streams+"'\n"), 0o600))
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"cursor":1,"cmds":[{"cursor":1,
		"nodes":{"complete":true,"members":[{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]}}]},"settings":%s}`, addr, ex.Listener.Addr(), settings)
	ctx, end := context.WithCancel(t.Context())
	log, done := make(lines, 64), make(chan error, 1)
	go func() {
		done <- run(ctx, nil, environ(t, config), []string{"--config", op}, slog.New(slog.NewTextHandler(log, nil)))
	}()
	for !strings.Contains(<-log, "msg=serving") {
	}
	only := &http.Protocols{}
	only.SetUnencryptedHTTP2(true)
	for at, c := range map[string]*http.Client{addr: http.DefaultClient, streams: {Transport: &http.Transport{Protocols: only}}} {
		for id, want := range map[string]int{"9b1f03aa5c7e2d41": 200, "short": 400} { // one that cannot be read ends no other
			req, err := http.NewRequest("POST", "http://"+at+"/call/7f3a9c21e0b4d655/trigger", nil)
			require.NoError(t, err)
			req.Header = http.Header{"X-Class": {"path-check"}, "X-Call-Id": {id}, "X-Patience-Ms": {"5000"}}
			resp, err := c.Do(req)
			require.NoError(t, err)
			assert.Equal(t, want, resp.StatusCode)
			assert.Equal(t, at == streams, resp.ProtoMajor == 2)
			resp.Body.Close()
		}
	}
	end()
	require.NoError(t, <-done)
}

// Guards a restart while discovery is down: the program serves from the list that it kept, sends nothing to the box that is
// gone, and follows discovery again once it is back, under another epoch.
func TestStartsWithoutDiscovery(t *testing.T) {
	t.Parallel()
	f := lab.PlannerFigures()
	disc := lab.NewDiscovery("e1")
	disc.Heart = 50 * time.Millisecond
	defer disc.Down()
	n, err := disc.Listen("127.0.0.1:0")
	require.NoError(t, err)
	box := func(id string) (*lab.StubWorker, lab.Listed) {
		b, err := lab.StartStubWorker(id, freeAddr(t), f, time.Now().Add(-time.Hour))
		require.NoError(t, err)
		return b, lab.Listed{ID: id, Addr: b.Addr, Phase: lab.Ready, Size: 2, UpSince: time.Now().Add(-time.Hour).UnixMilli()}
	}
	stays, a := box("s-00000001")
	defer stays.Die()
	dies, b := box("s-00000002")
	disc.Publish(a, b)
	dir, addr := t.TempDir(), freeAddr(t)
	op := filepath.Join(dir, "oakthread.toml")
	require.NoError(t, os.WriteFile(op, []byte("[list]\npath='state/list.db'\n"), 0o600))
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"channel":%q,"known":{"cursor":0,"cmds":[]},"settings":%s}`, addr, disc.Addr(n), settings)
	start := func(until string) (log lines, end func()) {
		ctx, cancel := context.WithCancel(t.Context())
		log, done := make(lines, 1024), make(chan error, 1)
		go func() {
			done <- run(ctx, nil, environ(t, config), []string{"serve", "--config", op}, slog.New(slog.NewTextHandler(log, nil)))
		}()
		for !strings.Contains(<-log, until) {
		}
		return log, func() { cancel(); require.NoError(t, <-done) }
	}
	ask := func(path string) int {
		req, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader("slot"))
		require.NoError(t, err)
		if path == "/ping" {
			req.Method = "GET"
		}
		req.Header = http.Header{"X-Class": {"path-check"}, "X-Call-Id": {fmt.Sprintf("%016x", time.Now().UnixNano())}, "X-Patience-Ms": {"5000"}}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	ready := func() {
		for ask("/ping") != 200 {
		}
	}
	_, end := start("msg=serving")
	ready()
	assert.Equal(t, 200, ask("/call/7f3a9c21e0b4d655/trigger"))
	end()

	disc.Down()
	dies.Die()
	log, end := start("starting from a kept list of 2 boxes")
	ready()
	for code := 0; code != 200; { // the ramp may hold the first ones off
		code = ask("/call/7f3a9c21e0b4d655/trigger")
		assert.Contains(t, []int{200, 503}, code)
	}
	third, c := box("s-00000003")
	defer third.Die()
	require.NoError(t, disc.Up())
	disc.StartOver("e2")
	b.Phase = lab.Removed
	disc.Publish(b, c)
	for !strings.Contains(<-log, "discovery is back") {
	}
	assert.Equal(t, 200, ask("/call/7f3a9c21e0b4d655/trigger"))
	end()
	found, err := endpointcache.Read(filepath.Join(dir, "state", "list.db"), "n0")
	require.NoError(t, err)
	assert.Equal(t, "e2", found.Kept.Epoch)
	var ids []int
	for _, x := range found.Kept.Endpoints {
		ids = append(ids, int(x.ID))
	}
	assert.Equal(t, []int{1, 3}, ids)
}

// Proof through the whole daemon on loopback: a sender books, repeats, alters and replays over sockets while a key
// rotates and the daemon restarts; the executor and the receiver of notices count.
func TestWebhooksThroughTheDaemon(t *testing.T) {
	t.Parallel()
	const bookings = 20
	var mu sync.Mutex
	booked, told, all := map[string]int{}, map[string]bool{}, make(chan bool)
	ex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		booked[string(b)]++
		fmt.Fprintf(w, "booked %s", b)
	}))
	defer ex.Close()
	system := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		if id := r.Header.Get("webhook-id"); strings.Contains(string(b), `"outcome":"served"`) && !told[id] {
			if told[id] = true; len(told) == bookings {
				close(all)
			}
		}
	}))
	defer system.Close()
	dir := t.TempDir()
	keys := func(ks ...string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "keys"), []byte(strings.Join(ks, "\n")), 0o600))
	}
	key := func(n byte) string { return "whsec_" + base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{n}, 24)) }
	old, now := key(1), key(2)
	keys(old)
	addr, hooks := freeAddr(t), freeAddr(t)
	toml := fmt.Sprintf("listen=%q\nstate='state.db'\nnotify=['path-book']\n[[operator]]\nname='a'\ntenant='a'\nkeys_file='keys'\nnotify=%q\n", hooks, system.URL)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "webhooks.toml"), []byte(toml), 0o600))
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[
		{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]}}]},"settings":%s}`, addr, ex.Listener.Addr(),
		strings.Replace(settings, `"path-check"`, `"path-book"`, 1))
	config = strings.Replace(strings.Replace(config, "read_like", "non_idempotent", 1), `"quantum_ns"`, `"customers":[{"name":"a","allowance_per_s":25}],"quantum_ns"`, 1)
	whole := "[webhooks]\n" + strings.Replace(toml, "[[operator]]", "[[webhooks.operator]]", 1)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "oakthread.toml"), []byte(whole), 0o600))
	start := func(args ...string) (end func()) {
		ctx, cancel := context.WithCancel(t.Context())
		log, done := make(lines, 256), make(chan error, 1)
		go func() {
			done <- run(ctx, nil, environ(t, config), args, slog.New(slog.NewTextHandler(log, nil)))
		}()
		for open := 0; open < 2; {
			if line := <-log; strings.Contains(line, "serving") {
				open++
			}
		}
		return func() { cancel(); require.NoError(t, <-done) }
	}
	send := func(k, id string, at time.Time, body, signedBody string) (int, string) {
		wh, err := standardwebhooks.NewWebhook(k)
		require.NoError(t, err)
		sig, err := wh.Sign(id, at, []byte(signedBody))
		require.NoError(t, err)
		req, err := http.NewRequest("POST", "http://"+hooks+"/", strings.NewReader(body))
		require.NoError(t, err)
		req.Header = http.Header{"Webhook-Id": {id}, "Webhook-Timestamp": {fmt.Sprint(at.Unix())}, "Webhook-Signature": {sig}}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(b)
	}
	end := start("-webhooks", filepath.Join(dir, "webhooks.toml"))
	codes, at, with := map[int]int{}, time.Now(), old
	for i := range bookings {
		switch i {
		case bookings / 4: // the daemon reads the new key by itself; until then it is unknown
			keys(now, old)
			probe := `{"type":"none"}`
			for code := 401; code == 401; {
				code, _ = send(now, "probe", time.Now(), probe, probe)
			}
			with = now
		case bookings / 2:
			end()
			end = start("serve", "--config", filepath.Join(dir, "oakthread.toml"))
		}
		id, slot := fmt.Sprint("m", i), fmt.Sprint("slot ", i)
		body := fmt.Sprintf(`{"type":"path-book.requested","data":{"function":"7f3a9c21e0b4d655","body":%q}}`, base64.StdEncoding.EncodeToString([]byte(slot)))
		for _, d := range []struct {
			at   time.Time
			body string
		}{{at, body}, {at, body}, {at, body + " "}, {at.Add(time.Second), body}} {
			code, got := send(with, id, d.at, d.body, body)
			codes[code]++
			if code == 200 {
				assert.Equal(t, "booked "+slot, got)
			}
		}
	}
	assert.Equal(t, map[int]int{200: 2 * bookings, 409: bookings, 401: bookings}, codes)
	<-all
	end()
	assert.Len(t, booked, bookings)
	for slot, n := range booked {
		assert.Equal(t, 1, n, slot)
	}
	assert.Len(t, told, bookings)
}
