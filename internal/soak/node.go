package soak

// The processes: how each is started, signalled and ended, and the record of its incarnations. Only
// processes started here are ended.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oakthread/internal/lab"
)

// Life is one process of a node, from its start to its end.
type Life struct {
	Node    int       `json:"node"`
	Begun   time.Time `json:"begun"`
	Ready   time.Time `json:"ready"`   // zero: never
	Ending  time.Time `json:"ending"`  // SIGTERM was sent; zero: not
	Killed  time.Time `json:"killed"`  // SIGKILL was sent; zero: not
	Ended   time.Time `json:"ended"`   // zero: it runs
	Failure string    `json:"failure"` // how it exited, where that was not well
}

// span is a time in which something held.
type span struct{ from, until time.Time }

func (s span) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && (s.until.IsZero() || from.Before(s.until))
}

// node is a dispatcher of a run: one process at a time, on the same addresses.
type node struct {
	*lab.Dispatcher
	program lab.Program
	good    []byte // its configuration as it is right

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	lives  []*Life
	paused []span
	action sync.Mutex // one start or end at a time
}

// start starts the node's process.
func (n *node) start() error {
	out, err := os.OpenFile(n.Log(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append(append([]string(nil), n.program.Args...), n.Args...)
	if n.File != "" {
		args = append(args, "--config", n.File)
	}
	cmd := exec.Command(n.program.Path, args...)
	cmd.Env = append(append(os.Environ(), n.program.Env...), "ROUTER_CONFIG="+n.Config)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %d: %w", n.N, err)
	}
	life, exited := &Life{Node: n.N, Begun: time.Now()}, make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.lives = append(n.lives, life)
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		life.Ended = time.Now()
		var exit *exec.ExitError
		killed := errors.As(err, &exit) && !exit.Exited() && !life.Killed.IsZero()
		if err != nil && !killed {
			life.Failure = err.Error()
		}
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

// awaitReady asks until the process says that it is ready.
func (n *node) awaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + n.Addr + "/ping")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.mu.Lock()
				n.lives[len(n.lives)-1].Ready = time.Now()
				n.mu.Unlock()
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %d is not ready: %w", n.N, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// signalPause is the time between the signals of a series.
const signalPause = 40 * time.Millisecond

// end sends signals in a row, SIGTERM or SIGKILL among them, and waits for the exit. After SIGTERM the
// process is killed once killAfter is over.
func (n *node) end(signals []syscall.Signal, killAfter time.Duration) {
	n.mu.Lock()
	cmd, exited, life := n.cmd, n.exited, n.lives[len(n.lives)-1]
	n.mu.Unlock()
	var kill <-chan time.Time
	for i, signal := range signals {
		if i > 0 {
			time.Sleep(signalPause)
		}
		n.mu.Lock()
		switch {
		case signal == syscall.SIGKILL:
			life.Killed = time.Now()
		case signal == syscall.SIGTERM && life.Ending.IsZero():
			life.Ending, kill = time.Now(), time.After(killAfter)
		}
		n.mu.Unlock()
		_ = cmd.Process.Signal(signal)
	}
	select {
	case <-exited:
		return
	case <-kill:
	}
	n.mu.Lock()
	if life.Ended.IsZero() {
		life.Killed = time.Now()
	}
	n.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// restart ends the process by signals and starts another.
func (n *node) restart(
	ctx context.Context, signals []syscall.Signal, killAfter time.Duration, known func() map[string]any,
) error {
	n.action.Lock()
	defer n.action.Unlock()
	n.end(signals, killAfter)
	if err := n.Know(known()); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	return n.awaitReady(ctx)
}

// pause stops the process for a time.
func (n *node) pause(ctx context.Context, long time.Duration) {
	n.action.Lock()
	defer n.action.Unlock()
	n.mu.Lock()
	cmd, at := n.cmd, len(n.paused)
	n.paused = append(n.paused, span{from: time.Now()})
	n.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	select {
	case <-ctx.Done():
	case <-time.After(long):
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	n.mu.Lock()
	n.paused[at].until = time.Now()
	n.mu.Unlock()
}

// reload has the process read a configuration; then the good one stands there again.
func (n *node) reload(raw []byte) error {
	if err := os.WriteFile(n.Config, raw, 0o600); err != nil {
		return err
	}
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	return cmd.Process.Signal(syscall.SIGHUP)
}

// limitFiles has writes of the process beyond so many bytes of a file fail; below 0: none.
func (n *node) limitFiles(bytes int64) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if bytes >= 0 {
		limit.Cur = uint64(bytes)
	}
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// history is a copy of the node's lives and of when it was stopped.
func (n *node) history() (lives []Life, paused []span) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lives {
		lives = append(lives, *l)
	}
	return lives, append([]span(nil), n.paused...)
}

// set changes keys of the node's configuration.
func (n *node) set(change func(map[string]any)) error {
	raw, err := os.ReadFile(n.Config)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return err
	}
	change(config)
	if n.good, err = json.MarshalIndent(config, "", " "); err != nil {
		return err
	}
	return os.WriteFile(n.Config, n.good, 0o600)
}
