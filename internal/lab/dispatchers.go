package lab

// The dispatchers of an experiment: real processes of the daemon on loopback addresses. This code
// signals only processes that it started.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// LoopbackRange is a part of the loopback range, 127.B.*.*, that is reserved for one run.
type LoopbackRange struct {
	b    int
	lock net.Listener
}

// ClaimLoopbackRange reserves a part of the loopback range that no other run uses, or returns an
// error if all are in use. The listener that it opens there is the lock.
func ClaimLoopbackRange() (*LoopbackRange, error) {
	for b := 64; b < 250; b++ {
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:9000", b)); err == nil {
			return &LoopbackRange{b, listener}, nil
		}
	}
	return nil, errors.New("no free part of the loopback range in 127.64.0.0 to 127.249.255.255")
}

// listenWithRetry listens on a TCP address that may still be in use for a moment after its socket
// was closed: a child process that is being started has copies of all descriptors until its exec.
// It retries for 2 s while the address is in use.
func listenWithRetry(addr string) (net.Listener, error) {
	const attempts, pause = 100, 20 * time.Millisecond
	for attempt := 0; ; attempt++ {
		listener, err := net.Listen("tcp", addr)
		if err == nil || attempt == attempts || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		time.Sleep(pause)
	}
}

// Addr returns address number i of a group, with the given port. Ports should lie below the range
// of ephemeral ports.
func (n *LoopbackRange) Addr(group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.b, group*8+i/250, 1+i%250, port)
}

// Close releases the range.
func (n *LoopbackRange) Close() { _ = n.lock.Close() }

// Settings returns the platform's settings object for these figures, as it stands in the
// configuration of dispatcher number of a fleet of the given size.
func (f *Figures) Settings(number, dispatchers int) map[string]any {
	var categories []map[string]any
	for _, class := range f.Classes {
		kind := "read_like"
		if class.NotIdempotent {
			kind = "non_idempotent"
		}
		categories = append(categories, map[string]any{
			"name": class.Name, "aim_ns": class.LatencyObjective,
			"give_up_ns": class.ClientTimeout, "credit": class.PriorityWeight, "late_worth": 0.2, "idempotency": kind,
		})
	}
	return map[string]any{
		"categories": categories, "customers": []any{},
		"feedback": map[string]any{"fields": []string{"waiting", "cpu"}, "how": "inline"},
		"kinds":    []string{"std-2core"},
		"zones":    []string{"north-room", "south-room"}, "my_number": number, "siblings": dispatchers,
		"quantum_ns": 4 * time.Millisecond,
		"permissions": map[string]any{
			"send_cap": 5, "second_copies": true, "cancel": true, "peers": true, "may_probe": true,
			"retry_after": true, "connect_timeout_ns": 250 * time.Millisecond, "conn_idle_ns": 15 * time.Second,
			"max_retry_after_ns": 1500 * time.Millisecond,
		},
		"rules": map[string]any{
			"cold_ns": f.Worker.SlowStart, "fall_ns": f.Worker.CollapseWindow,
			"overload_factor": f.Worker.OverloadFactor, "start_capacity": f.Worker.StartCapacity,
			"drain_grace_ns": time.Second,
		},
		"specifics": map[string]any{
			"linger_idle_ns": f.Worker.IdleTimeout, "on_miss": "load", "load_control": true, "warm_notes": true,
			"notes_peers_in_hand": true, "free_loads": 6, "load_part": 0.3, "load_span_ns": 5 * time.Second,
			"order_limit_ns":   10 * time.Second,
			"idle_memory_cost": 0.05,
		},
		"prices": map[string]any{"origin": 0.03, "peer": 0.02, "probe": 0.01, "waste": 0.2},
	}
}

// Dispatcher is one dispatcher of a run: its files and the daemon processes started from them, one
// at a time.
type Dispatcher struct {
	N            int
	Addr         string
	Dir          string
	Config       string // path of the platform's configuration
	OperatorFile string // path of the operator's configuration; empty: none
	Args         []string
	Program      Program // zero: the dispatch command of this executable
	cmd          *exec.Cmd
	KillTimes    []time.Time
	StartTimes   []time.Time
	ReadyTimes   []time.Time
	CPU          time.Duration // of the processes that have ended
}

// Program is the executable that a dispatcher's process runs.
type Program struct {
	Path string
	Args []string // precede the dispatcher's own
	Env  []string // added to this process's environment
}

// DispatcherFiles holds the contents of one dispatcher's files and where they are written.
type DispatcherFiles struct {
	Dir            string // parent of the dispatcher's own directory
	N              int    // number of the dispatcher
	Addr           string // where the dispatcher listens for clients
	Settings       map[string]any
	Peers          []string // addresses of all dispatchers, by number
	Channel        string   // address of Discovery's listener or of the relay to it
	OperatorConfig string   // contents of the operator's configuration; empty: none
}

// WriteDispatcherFiles writes a dispatcher's files and returns the dispatcher, which is not
// started.
func WriteDispatcherFiles(files DispatcherFiles) (*Dispatcher, error) {
	n, peers := files.N, files.Peers
	dispatcher := &Dispatcher{N: n, Addr: files.Addr, Dir: filepath.Join(files.Dir, fmt.Sprintf("d%02d", n))}
	if err := os.MkdirAll(dispatcher.Dir, 0o700); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("d%02d", n), "listen": files.Addr, "seed": fmt.Sprintf("%x", 0x9e3779b9*(n+1)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "peer_listen": peers[n],
		"peers":   peers,
		"channel": files.Channel,
		"known":   map[string]any{"cursor": 0, "cmds": []any{}}, "settings": files.Settings,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	dispatcher.Config = filepath.Join(dispatcher.Dir, "config.json")
	if err := os.WriteFile(dispatcher.Config, raw, 0o600); err != nil {
		return nil, err
	}
	if files.OperatorConfig != "" {
		dispatcher.OperatorFile = filepath.Join(dispatcher.Dir, "oakthread.toml")
		return dispatcher, os.WriteFile(dispatcher.OperatorFile, []byte(files.OperatorConfig), 0o600)
	}
	return dispatcher, nil
}

// SetKnownWorkers puts the known workers into the platform's configuration. known is an object with
// a cursor and events, as Discovery returns it.
func (d *Dispatcher) SetKnownWorkers(known map[string]any) error {
	raw, err := os.ReadFile(d.Config)
	if err != nil {
		return fmt.Errorf("dispatcher %d: platform configuration: %w", d.N, err)
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return fmt.Errorf("dispatcher %d: platform configuration: %w", d.N, err)
	}
	config["known"] = known
	if raw, err = json.MarshalIndent(config, "", " "); err != nil {
		return fmt.Errorf("dispatcher %d: platform configuration: %w", d.N, err)
	}
	return os.WriteFile(d.Config, raw, 0o600)
}

// Start starts the process. The kernel kills it when this process ends for any reason.
func (d *Dispatcher) Start() error {
	run := d.Program
	if run.Path == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		run = Program{Path: self, Args: []string{"dispatch"}}
	}
	out, err := os.OpenFile(d.Log(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append(append([]string(nil), run.Args...), d.Args...)
	if d.OperatorFile != "" {
		args = append(args, "--config", d.OperatorFile)
	}
	d.cmd = exec.Command(run.Path, args...)
	d.cmd.Env = append(append(os.Environ(), run.Env...), "ROUTER_CONFIG="+d.Config, "TMPDIR="+d.Dir)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.cmd.Stderr = out
	if err := d.cmd.Start(); err != nil {
		d.cmd = nil
		return fmt.Errorf("dispatcher %d: %w", d.N, err)
	}
	d.StartTimes = append(d.StartTimes, time.Now())
	return nil
}

// WaitReady polls /ping every 4 ms until it answers 200, and records that time. It returns an error
// when ctx ends before.
func (d *Dispatcher) WaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr+"/ping", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.ReadyTimes = append(d.ReadyTimes, time.Now())
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("dispatcher %d is not ready: %w", d.N, ctx.Err())
		case <-time.After(4 * time.Millisecond):
		}
	}
}

// Kill ends the process with SIGKILL, as in a crash.
func (d *Dispatcher) Kill() error { return d.end(syscall.SIGKILL) }

// Stop ends the process with SIGTERM, as in a planned restart, and returns an error if its exit
// code is not 0.
func (d *Dispatcher) Stop() error { return d.end(syscall.SIGTERM) }

// Signal sends the running process a signal, such as SIGSTOP or SIGCONT. Without a running process
// it does nothing.
func (d *Dispatcher) Signal(sig syscall.Signal) error {
	if d.cmd == nil {
		return nil
	}
	if err := d.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("dispatcher %d: %w", d.N, err)
	}
	return nil
}

// Running reports whether the process was started and neither Kill nor Stop has ended it.
func (d *Dispatcher) Running() bool { return d.cmd != nil }

// Log returns the path of the file that the dispatcher's processes log to.
func (d *Dispatcher) Log() string { return filepath.Join(d.Dir, "log") }

// end sends the process a signal and waits until it exits. After SIGKILL, death by a signal is no
// error.
func (d *Dispatcher) end(sig syscall.Signal) error {
	if d.cmd == nil {
		return nil
	}
	if sig == syscall.SIGKILL {
		d.KillTimes = append(d.KillTimes, time.Now())
	}
	_ = d.cmd.Process.Signal(sig)
	err := d.cmd.Wait()
	d.CPU += d.cmd.ProcessState.SystemTime() + d.cmd.ProcessState.UserTime()
	d.cmd = nil
	var exit *exec.ExitError
	if sig == syscall.SIGKILL && errors.As(err, &exit) && !exit.Exited() {
		return nil
	}
	return err
}
