package rig

import (
	"bytes"
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

// Tier is a deployment: workers, discovery and the files of its dispatchers in a temporary folder.
type Tier struct {
	Site      Site
	Fleet     *Fleet
	Discovery *Discovery
	Record    *Record
	Nodes     []*Node

	root, dir string
	processes []*Process
}

// Node is one dispatcher of the tier, whose process may be started more than once.
type Node struct {
	Addr, Peer, Console, Webhooks, HTTP2 string

	tier                     *Tier
	number                   int
	temporary, config, state string
	operatorFile             string
}

// Process is a running process of a dispatcher.
type Process struct {
	Name string

	command *exec.Cmd
	record  *Record
	ended   chan struct{} // closed when the process has ended
	status  string        // set before ended is closed
}

// NewTier starts the workers and discovery of a site and lays the files of its dispatchers. root is
// the root of the repository.
func NewTier(root string, record *Record, site Site, workers, dispatchers int) (*Tier, error) {
	t := &Tier{Site: site, Record: record, root: root}
	var err error
	if t.dir, err = os.MkdirTemp("", "oakthread-review-*"); err != nil {
		return nil, err
	}
	if t.Fleet, err = NewFleet(record, workers, site.Zones); err != nil {
		t.Close()
		return nil, err
	}
	if t.Discovery, err = NewDiscovery(t.Fleet.Workers); err != nil {
		t.Close()
		return nil, err
	}
	for number := range dispatchers {
		node := &Node{tier: t, number: number, temporary: filepath.Join(t.dir, fmt.Sprint("n", number))}
		if err := os.Mkdir(node.temporary, 0o700); err != nil {
			t.Close()
			return nil, err
		}
		node.config = filepath.Join(t.dir, fmt.Sprintf("n%d.json", number))
		for _, addr := range []*string{&node.Addr, &node.Peer, &node.Console, &node.Webhooks, &node.HTTP2} {
			*addr = FreeAddr()
		}
		t.Nodes = append(t.Nodes, node)
	}
	for _, node := range t.Nodes {
		if err := node.WriteConfig(site); err != nil {
			t.Close()
			return nil, err
		}
	}
	return t, nil
}

// FreeAddr returns a loopback address whose port is free, for TCP and UDP.
func FreeAddr() string {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err) // no port is left on this machine
		}
		addr := listener.Addr().String()
		packets, err := net.ListenPacket("udp", addr)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return addr
		}
	}
}

// Close ends every process and stand-in and removes the temporary folder.
func (t *Tier) Close() {
	for _, process := range t.processes {
		process.Kill()
	}
	if t.Discovery != nil {
		t.Discovery.Close()
	}
	if t.Fleet != nil {
		t.Fleet.Close()
	}
	_ = os.RemoveAll(t.dir)
}

// WriteConfig writes the platform's configuration of the node with the settings of a site.
func (n *Node) WriteConfig(site Site) error {
	peers := []string{}
	for _, node := range n.tier.Nodes {
		peers = append(peers, node.Peer)
	}
	config := object{
		"name": fmt.Sprint("n", n.number), "listen": n.Addr, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", n.number),
		"limits":  object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"channel": n.tier.Discovery.Addr, "console": n.Console,
		"known":    json.RawMessage(n.tier.Discovery.Known()),
		"settings": site.Settings(n.number, len(n.tier.Nodes)),
	}
	if site.Peers {
		config["peer_listen"], config["peers"] = n.Peer, peers
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	next := n.config + ".new"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.config)
}

// WriteWebhooks writes the operator's file of the node with a webhook front, in the form of
// deploy/webhooks.toml, for one operator that is also a tenant.
func (n *Node) WriteWebhooks(operator string) error {
	n.state = filepath.Join(n.tier.dir, fmt.Sprintf("webhooks-%d.db", n.number))
	keys := filepath.Join(n.tier.dir, fmt.Sprintf("keys-%d", n.number))
	if err := os.WriteFile(keys, []byte(SecretLine()), 0o600); err != nil {
		return err
	}
	text := fmt.Sprintf("[webhooks]\nlisten = %q\nstate = %q\n[[webhooks.operator]]\nname = %q\ntenant = %q\n"+
		"keys_file = %q\n", n.Webhooks, n.state, operator, operator, keys)
	n.operatorFile = filepath.Join(n.tier.dir, fmt.Sprintf("oakthread-%d.toml", n.number))
	return os.WriteFile(n.operatorFile, []byte(text), 0o600)
}

// Start starts a process of the node with the run command of the deploy file, followed by the
// operator's file if there is one.
func (n *Node) Start(name string) (*Process, error) {
	run := "exec bin/dispatcher"
	if n.operatorFile != "" {
		run += " serve --config " + n.operatorFile
	}
	command := exec.Command("/bin/sh", "-c", run)
	command.Dir = n.tier.root
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+n.config, "TMPDIR="+n.temporary,
		"ROUTER_NAME="+fmt.Sprint("n", n.number), "ROUTER_LISTEN="+n.Addr)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the stand-in
	p := &Process{Name: name, command: command, record: n.tier.Record, ended: make(chan struct{})}
	log := &logWriter{record: n.tier.Record, name: name}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	n.tier.processes = append(n.tier.processes, p)
	n.tier.Record.Logf("%s: started, process %d", name, command.Process.Pid)
	go func() { // ends with the process
		_ = command.Wait()
		p.status = command.ProcessState.String()
		n.tier.Record.Logf("%s: ended, %s", name, p.status)
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.record.Logf("%s: sent %v", p.Name, signal)
	_ = p.command.Process.Signal(signal)
}

// Ended reports whether the process has ended, and how.
func (p *Process) Ended() (status string, ended bool) {
	select {
	case <-p.ended:
		return p.status, true
	default:
		return "", false
	}
}

// WaitEnded waits for the end of the process and reports whether it came in time.
func (p *Process) WaitEnded(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// logWriter copies the log of a process to the record.
type logWriter struct {
	record *Record
	name   string
	rest   []byte
}

// Write records whole lines.
func (l *logWriter) Write(text []byte) (int, error) {
	l.rest = append(l.rest, text...)
	for {
		line, rest, complete := bytes.Cut(l.rest, []byte{'\n'})
		if !complete {
			return len(text), nil
		}
		l.record.Logf("%s log: %s", l.name, line)
		l.rest = rest
	}
}

// errNotReady is the error of a dispatcher that does not answer /ping with 200 in time.
var errNotReady = errors.New("dispatcher is not ready after 10 s")

// WaitReady waits until the node answers GET /ping with 200.
func (n *Node) WaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.Addr + "/ping")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// StartAll starts one process for each node and waits until all are ready.
func (t *Tier) StartAll() ([]*Process, error) {
	var processes []*Process
	for _, node := range t.Nodes {
		process, err := node.Start(fmt.Sprint("n", node.number))
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	for _, node := range t.Nodes {
		if err := node.WaitReady(); err != nil {
			return nil, err
		}
	}
	return processes, nil
}

// StartBeside starts a second process of the node beside the first, with the same addresses and the
// given console.
func (n *Node) StartBeside(name, console string) (*Process, error) {
	second := *n
	second.Console = console
	second.config += ".second"
	if err := second.WriteConfig(n.tier.Site); err != nil {
		return nil, err
	}
	return second.Start(name)
}
