package soak

// The dispatcher processes: starting, signalling and ending them, and the record of each
// incarnation. Only processes started here are signalled.

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

// Incarnation is one process of a node, from its start to its end.
type Incarnation struct {
	Node     int       `json:"node"`
	Started  time.Time `json:"begun"`
	Ready    time.Time `json:"ready"`   // zero: never
	TermSent time.Time `json:"ending"`  // when SIGTERM was sent first; zero: not sent
	Killed   time.Time `json:"killed"`  // when SIGKILL was sent; zero: not sent
	Ended    time.Time `json:"ended"`   // zero: it is running
	Failure  string    `json:"failure"` // the exit error, unless SIGKILL was sent and a signal ended it
}

// span is a period of time; a zero until means that it has not ended.
type span struct{ from, until time.Time }

func (s span) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && (s.until.IsZero() || from.Before(s.until))
}

// node is a dispatcher of a run: one process at a time, always on the same addresses.
type node struct {
	*lab.Dispatcher
	program     lab.Program
	validConfig []byte // restored after each reload of a changed one

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	incarnations []*Incarnation
	paused       []span
	actionMu     sync.Mutex // held during a restart, pause, reload or file size limit
}

// start starts the node's process.
func (n *node) start() error {
	out, err := os.OpenFile(n.Log(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append(append([]string(nil), n.program.Args...), n.Args...)
	if n.OperatorFile != "" {
		args = append(args, "--config", n.OperatorFile)
	}
	cmd := exec.Command(n.program.Path, args...)
	cmd.Env = append(append(os.Environ(), n.program.Env...), "ROUTER_CONFIG="+n.Config, "TMPDIR="+n.Dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %d: %w", n.N, err)
	}
	proc, exited := &Incarnation{Node: n.N, Started: time.Now()}, make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.incarnations = append(n.incarnations, proc)
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		proc.Ended = time.Now()
		var exit *exec.ExitError
		killed := errors.As(err, &exit) && !exit.Exited() && !proc.Killed.IsZero()
		if err != nil && !killed {
			proc.Failure = err.Error()
		}
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

// awaitReady polls the process until it reports that it is ready.
func (n *node) awaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + n.Addr + "/ping")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.mu.Lock()
				n.incarnations[len(n.incarnations)-1].Ready = time.Now()
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

// end sends a series of signals, which must include SIGTERM or SIGKILL, and waits for the exit. If
// the process is still running killAfter after SIGTERM, it is killed.
func (n *node) end(signals []syscall.Signal, killAfter time.Duration) {
	n.mu.Lock()
	cmd, exited, proc := n.cmd, n.exited, n.incarnations[len(n.incarnations)-1]
	n.mu.Unlock()
	var kill <-chan time.Time
	for i, signal := range signals {
		if i > 0 {
			time.Sleep(signalPause)
		}
		n.mu.Lock()
		switch {
		case signal == syscall.SIGKILL:
			proc.Killed = time.Now()
		case signal == syscall.SIGTERM && proc.TermSent.IsZero():
			proc.TermSent, kill = time.Now(), time.After(killAfter)
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
	if proc.Ended.IsZero() {
		proc.Killed = time.Now()
	}
	n.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// restart ends the process, starts another with the known workers and waits until it is ready.
func (n *node) restart(
	ctx context.Context, signals []syscall.Signal, killAfter time.Duration, known func() map[string]any,
) error {
	n.actionMu.Lock()
	defer n.actionMu.Unlock()
	n.end(signals, killAfter)
	if err := n.SetKnownWorkers(known()); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	return n.awaitReady(ctx)
}

// pause stops the process for d, or until ctx ends.
func (n *node) pause(ctx context.Context, d time.Duration) {
	n.actionMu.Lock()
	defer n.actionMu.Unlock()
	n.mu.Lock()
	cmd, at := n.cmd, len(n.paused)
	n.paused = append(n.paused, span{from: time.Now()})
	n.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	n.mu.Lock()
	n.paused[at].until = time.Now()
	n.mu.Unlock()
}

// reload writes a configuration and sends SIGHUP; the caller restores the valid configuration.
func (n *node) reload(raw []byte) error {
	if err := os.WriteFile(n.Config, raw, 0o600); err != nil {
		return err
	}
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	return cmd.Process.Signal(syscall.SIGHUP)
}

// limitFileSize makes writes beyond a file size fail; a negative size removes the limit.
func (n *node) limitFileSize(bytes int64) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if bytes >= 0 {
		limit.Cur = uint64(bytes)
	}
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// history returns copies of the node's incarnations and of the spans in which it was stopped.
func (n *node) history() (procs []Incarnation, paused []span) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, proc := range n.incarnations {
		procs = append(procs, *proc)
	}
	return procs, append([]span(nil), n.paused...)
}

// editConfig changes the node's configuration and keeps the result as the valid one.
func (n *node) editConfig(change func(map[string]any)) error {
	raw, err := os.ReadFile(n.Config)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return err
	}
	change(config)
	if n.validConfig, err = json.MarshalIndent(config, "", " "); err != nil {
		return err
	}
	return os.WriteFile(n.Config, n.validConfig, 0o600)
}
