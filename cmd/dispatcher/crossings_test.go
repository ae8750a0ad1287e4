package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/internal/lab"
)

// This file forces crossings on the whole program: signals, discovery and descriptors.

func configuration(listen, channel, known, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"channel":%q,"limits":{"cores":1,"memory_mb":192,"sockets":120},"known":{"cursor":%d,"cmds":[%s]},"settings":%s}`,
		listen, channel, btoi(known != ""), known, settings)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func whole(addr string) string {
	return fmt.Sprintf(`{"cursor":1,"nodes":{"complete":true,"members":[{"id":"s-1","host_port":%q,"phase":"Ready","size":1}]}}`, addr)
}

// until reads the program's log up to a line with text.
func until(t *testing.T, log *bufio.Scanner, text string) {
	t.Helper()
	for log.Scan() {
		if strings.Contains(log.Text(), text) {
			return
		}
	}
	t.Fatal("the program ended before it said", text)
}

func call(t *testing.T, addr, class, id string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+addr+"/call/7f3a9c21e0b4d655/trigger", strings.NewReader("x"))
	require.NoError(t, err)
	req.Header = http.Header{"X-Class": {class}, "X-Call-Id": {id}, "X-Patience-Ms": {"60000"}}
	resp, err := http.DefaultClient.Do(req)
	if !assert.NoError(t, err) {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(b)
}

// Guards a planned restart against further signals: a second SIGTERM and a SIGHUP while a call is in hand end nothing
// early, the call is answered and the program exits with 0.
func TestSignalsDuringTheEnd(t *testing.T) {
	t.Parallel()
	came, goOn := make(chan bool), make(chan bool)
	ex := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { came <- true; <-goOn }))
	defer ex.Close()
	addr := freeAddr(t)
	cmd, log := program(t, configuration(addr, "", whole(ex.Listener.Addr().String()), settings))
	until(t, log, "msg=serving")
	got := make(chan int, 1)
	go func() {
		code, _ := call(t, addr, "path-check", "9b1f03aa5c7e2d41")
		got <- code
	}()
	<-came
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	until(t, log, "ending: still taking calls")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	until(t, log, "configuration reloaded")
	until(t, log, "ending: no new calls")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	close(goOn)
	assert.Equal(t, 200, <-got)
	until(t, log, "msg=ended")
	require.NoError(t, cmd.Wait(), "exit code 0")
}

// Guards a planned end before readiness, with discovery silent: exit code 0, and /ping never said yes.
func TestEndBeforeReadiness(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	addr := freeAddr(t)
	cmd, log := program(t, configuration(addr, silent.Addr().String(), "", settings))
	until(t, log, "msg=serving")
	resp, err := http.Get("http://" + addr + "/ping")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 503, resp.StatusCode)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	until(t, log, "msg=ended")
	require.NoError(t, cmd.Wait(), "exit code 0")
}

// Guards the descriptors: idle clients take all places that they can while discovery is down. A usual client is still
// answered, the watch comes back once discovery does, boxes are dialled, and the program neither ends nor spins.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	ex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer ex.Close()
	later := freeAddr(t)
	addr := freeAddr(t)
	cmd, log := program(t, configuration(addr, later, "", settings), descriptors+"=120")
	until(t, log, "msg=serving")
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for range 400 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		open = append(open, c)
	}
	alone := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := alone.Get("http://" + addr + "/ping")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 503, resp.StatusCode, "no list yet")
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	require.NoError(t, err)
	assert.Greater(t, len(held), 120/3, "the idle clients hold what they can")
	assert.Less(t, len(held), 120-20, "and leave room for the watch and the boxes")
	ln, err := net.Listen("tcp", later) // discovery is back
	require.NoError(t, err)
	defer ln.Close()
	c, err := ln.Accept()
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, whole(ex.Listener.Addr().String())+"\n1\n")
	require.NoError(t, err)
	for code := 0; code != 200; {
		resp, err := alone.Get("http://" + addr + "/ping")
		require.NoError(t, err)
		resp.Body.Close()
		code = resp.StatusCode
	}
	code, body := call(t, addr, "path-check", "9b1f03aa5c7e2d41")
	assert.Equal(t, "200 x", fmt.Sprint(code, " ", body))
	spent := func() time.Duration {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		require.NoError(t, err)
		f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		var user, sys int
		fmt.Sscan(f[11], &user)
		fmt.Sscan(f[12], &sys)
		return time.Duration(user+sys) * 10 * time.Millisecond
	}
	before, began := spent(), time.Now()
	time.Sleep(time.Second)
	assert.Less(t, spent()-before, time.Since(began)/2, "it spins")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	until(t, log, "msg=ended")
	require.NoError(t, cmd.Wait(), "exit code 0")
}

// Guards against a program that fits one deployment: the same calls under settings of other kinds.
func TestSettingsAlone(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	ex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1); r.Header.Get("X-Thing") == "00000000000000ee" {
			w.WriteHeader(http.StatusInternalServerError) // it may have run
			return
		}
		fmt.Fprint(w, r.URL.Path)
	}))
	defer ex.Close()
	for name, c := range map[string]struct {
		settings, class string
		runs            int64 // for a call whose every attempt may have run
	}{
		"one class that may not be repeated": {`{"categories":[{"name":"ein Los","aim_ns":700000000,"give_up_ns":2000000000,"credit":0.01,"idempotency":"non_idempotent"}],
			"quantum_ns":1000000,"permissions":{"send_cap":7,"connect_timeout_ns":250000000}}`, "ein Los", 1},
		"deadline under 100 ms": {`{"categories":[{"name":"kurz","aim_ns":40000000,"give_up_ns":90000000,"credit":3,"idempotency":"read_like"},
			{"name":"lang","aim_ns":40000000000,"give_up_ns":90000000000,"credit":0,"idempotency":"read_like"}],
			"quantum_ns":1000000,"permissions":{"send_cap":2,"cancel":true,"second_copies":true,"connect_timeout_ns":250000000},"customers":[]}`, "kurz", 2},
		"one attempt": {`{"categories":[{"name":"a/b%20c","aim_ns":400000000,"give_up_ns":3000000000,"credit":1,"idempotency":"read_like"}],
			"quantum_ns":4000000,"permissions":{"send_cap":1,"connect_timeout_ns":250000000},"specifics":{"on_miss":"miss"}}`, "a/b%20c", 1},
		"keyed within a zone": {`{"categories":[{"name":"k","aim_ns":400000000,"give_up_ns":3000000000,"credit":1,"idempotency":"idempotency_key","key_scope":"zone","window_ns":60000000000}],
			"zones":["z"],"zone":0,"quantum_ns":4000000,"permissions":{"send_cap":4,"connect_timeout_ns":250000000}}`, "k", 2}, // a function that no box ever served is given up after two errors
		"keyed, window is past": {`{"categories":[{"name":"k","aim_ns":400000000,"give_up_ns":3000000000,"credit":1,"idempotency":"idempotency_key","key_scope":"all","window_ns":1}],
			"quantum_ns":4000000,"permissions":{"send_cap":4,"connect_timeout_ns":250000000}}`, "k", 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr := freeAddr(t)
			cmd, log := program(t, configuration(addr, "", whole(ex.Listener.Addr().String()), c.settings))
			until(t, log, "msg=serving")
			code, body := call(t, addr, c.class, "9b1f03aa5c7e2d41")
			assert.Equal(t, 200, code)
			assert.Equal(t, "/c/"+c.class, body)
			runs.Store(0)
			req, err := http.NewRequest("POST", "http://"+addr+"/call/00000000000000ee/trigger", nil)
			require.NoError(t, err)
			req.Header = http.Header{"X-Class": {c.class}, "X-Call-Id": {"9b1f03aa5c7e2d42"}, "X-Patience-Ms": {"60000"}}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			resp.Body.Close()
			assert.NotEqual(t, 200, resp.StatusCode)
			assert.Equal(t, c.runs, runs.Load(), "attempts")
			code, _ = call(t, addr, "path-book of somebody else", "9b1f03aa5c7e2d43")
			assert.Equal(t, 400, code)
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			until(t, log, "msg=ended")
			require.NoError(t, cmd.Wait(), "exit code 0")
		})
	}
}

// Guards fresh boxes against the sum of what all processes send: with 20 and with 30, under uneven traffic, a part of them
// just restarted and a part not heard, boxes are replaced by cold ones and get no more than is put down to chance, counted
// at the boxes.
func TestColdBoxesBearTheSumOfAll(t *testing.T) {
	for _, n := range []int{20, 30} {
		t.Run(fmt.Sprint(n, " processes"), func(t *testing.T) {
			f := lab.PlannerFigures()
			for i := range f.Classes { // so that a box's budget is some dozens of calls
				f.Classes[i].Work *= 5
			}
			f.Worker.Cores, f.Worker.Queue = 2, 24
			r := fleet(t, lab.RigSize{Dispatchers: n, Workers: 12, Zones: 2, Seed: uint64(n), Figures: f,
				Load: lab.Load{Models: 60, Zipf: 0.8, Retries: 1}, Rate: func(d int) float64 { return 230 / float64(n) * []float64{0.25, 0.25, 0.5, 3}[d%4] }})
			r.Send(t.Context(), nil)
			span(t, 3*time.Second)
			restarted := func(d int) bool { return d%5 == 0 }
			for d, x := range r.Nodes {
				if restarted(d) {
					require.NoError(t, x.Kill())
				}
			}
			r.PeerNetwork.Set(lab.Lost, func(from, to int) bool { return from%5 == 1 || to%5 == 2 })
			for i := range 4 {
				require.NoError(t, r.Replace(3*i))
			}
			r.Announce(func(box int) bool { return box%3 == 0 })
			require.NoError(t, r.Start(t.Context(), restarted))
			span(t, f.Worker.Warm)
			r.Quiet()
			all := 0
			for i := range 4 {
				b := r.Workers[3*i]
				seen, _ := b.Observations()
				most := lab.WarmingLoad(f, time.UnixMilli(r.Listed[3*i].UpSince), seen)
				t.Logf("box %d: %d calls, at most %.2f of what is put down to chance", 3*i, len(seen), most)
				assert.Less(t, most, 1.0, "box %d", 3*i)
				all += len(seen)
			}
			assert.Greater(t, all, 20, "fresh boxes are hardly used")
			assert.NoError(t, r.Stop())
		})
	}
}

// Guards readiness after a restart: with a list in the configuration a program is ready within 10 s, whatever discovery does,
// and eight that start at once are.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	ex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer ex.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections, by its backlog, and never says a word
	require.NoError(t, err)
	defer silent.Close()
	rude, err := net.Listen("tcp", "127.0.0.1:0") // says what cannot be read, and goes
	require.NoError(t, err)
	defer rude.Close()
	go func() {
		for {
			c, err := rude.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "{\"cursor\":\x00\n")
			c.Close()
		}
	}()
	ready := make(chan error, 8)
	var running []*exec.Cmd
	var ends []func()
	for i := range 8 {
		channel := []string{"", freeAddr(t), silent.Addr().String(), rude.Addr().String()}[i%4]
		addr := freeAddr(t)
		began := time.Now()
		cmd, log := program(t, configuration(addr, channel, whole(ex.Listener.Addr().String()), settings))
		go func() {
			for code := 0; code != 200; {
				if resp, err := http.Get("http://" + addr + "/ping"); err == nil {
					resp.Body.Close()
					code = resp.StatusCode
				}
				if time.Since(began) > 10*time.Second {
					ready <- fmt.Errorf("with discovery at %q: not ready", channel)
					return
				}
			}
			ready <- nil
		}()
		running = append(running, cmd)
		ends = append(ends, func() {
			until(t, log, "msg=ended")
			assert.NoError(t, cmd.Wait(), "exit code 0")
		})
	}
	for range 8 {
		require.NoError(t, <-ready)
	}
	for _, cmd := range running {
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	}
	for _, end := range ends {
		end()
	}
}

// Guards a quiet day on which four in ten of what is loaded come in a new version at once: no storm of loads, orders within
// the ration, calls served on, and the old copies go. Counted at the boxes.
func TestNewVersionsOnAQuietDay(t *testing.T) {
	const n, boxes, models = 6, 8, 40
	f := lab.PlannerFigures()
	f.Worker.Keep = 3 * time.Second
	load := lab.Load{Rate: 20, Models: models, Zipf: 0.6, Retries: 1}
	r := fleet(t, lab.RigSize{Dispatchers: n, Workers: boxes, Seed: 14, Figures: f, Load: load})
	load.NewAt = time.Now().Add(4 * time.Second)
	for _, c := range r.Called {
		c.Renew(load.NewAt)
	}
	r.Send(t.Context(), nil)
	span(t, time.Until(load.NewAt))
	span(t, 2*f.Worker.Keep)
	r.Quiet()
	end := time.Now()
	loads, fresh := 0, 0
	for rank := range models {
		was, is := load.Version(rank)
		if was == is {
			continue
		}
		fresh++
		for i, b := range r.Workers {
			b.Change(func(x *lab.WorkerModel) {
				loads += x.Loads(is)
				assert.False(t, x.Holds(end, was), "box %d still holds the old version of model %d", i, rank)
			})
		}
	}
	t.Logf("%d loads of %d new versions", loads, fresh)
	assert.Greater(t, fresh, models/4)
	assert.Less(t, loads, 3*fresh, "loads of new versions")
	var orders, calls []time.Time
	for _, b := range r.Workers {
		_, os := b.Observations()
		orders = append(orders, os...)
	}
	for _, c := range r.Calls(nil) {
		for _, x := range c.Attempts {
			calls = append(calls, x.Sent)
		}
	}
	slices.SortFunc(orders, time.Time.Compare)
	slices.SortFunc(calls, time.Time.Compare)
	assert.Zero(t, lab.OverRation(orders, calls, 5*time.Second, 6*n, 0.3, 0.15), "orders beyond the ration of all")
	before := lab.Served(r.Calls(nil), load.NewAt.Add(-2*time.Second), load.NewAt, nil)
	after := lab.Served(r.Calls(nil), load.NewAt, load.NewAt.Add(2*f.Worker.Keep), nil)
	t.Logf("served %.3f before, %.3f after", before, after)
	assert.Greater(t, after, before-0.05)
	sound(t, r)
}
