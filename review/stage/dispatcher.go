package stage

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"oakthread/internal/lab"
)

// Tenants and zones of the deployment.
var (
	Tenants = []string{"ironbridge", "soar"}
	Zones   = []string{"north-room", "south-room"}
)

// seed is that of the dispatchers' random numbers, in hexadecimal digits.
const seed = "5600000000000056"

// Config is a dispatcher's configuration file of the platform.
type Config struct {
	Listen, Console, Channel string
	Settings                 map[string]any
	Workers                  []*Worker
}

// Settings returns the settings of the deployment: those of the laboratory's planning site, with
// tenants.
func Settings() map[string]any {
	settings := lab.PlannerFigures().Settings(0, 1)
	var customers []map[string]any
	for _, tenant := range Tenants {
		customers = append(customers, map[string]any{"name": tenant, "allowance_per_s": 50, "fraction": 0.5})
	}
	settings["customers"] = customers
	return settings
}

// AddClass adds a class to settings that is like path-check.
func AddClass(settings map[string]any, name string) {
	classes, _ := settings["categories"].([]map[string]any)
	added := map[string]any{}
	for key, value := range classes[0] {
		added[key] = value
	}
	added["name"] = name
	settings["categories"] = append(classes[:len(classes):len(classes)], added)
}

// JSON returns the file's text.
func (c *Config) JSON() string {
	var members []map[string]any
	for _, worker := range c.Workers {
		members = append(members, worker.entry())
	}
	event := map[string]any{"cursor": 1, "nodes": map[string]any{"revision": 1, "complete": true, "members": members}}
	file := map[string]any{
		"name": "n0", "listen": c.Listen, "seed": seed, "channel": c.Channel,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"cursor": 1, "cmds": []any{event}}, "settings": c.Settings,
	}
	if c.Console != "" {
		file["console"] = c.Console
	}
	text, err := json.Marshal(file)
	if err != nil {
		panic(err) // the file holds only strings, numbers and maps of them
	}
	return string(text)
}

// Dispatcher is a process of the dispatcher.
type Dispatcher struct {
	Name  string
	stage *Stage
	cmd   *exec.Cmd
	log   string
	ended chan struct{} // closed when the process has ended
	code  int
}

// start starts the run command of the deploy file with a configuration. operatorFile is the path of
// the operator's file; empty: none.
func (s *Stage) start(name, config, operatorFile string) (*Dispatcher, error) {
	command, err := s.runCommand()
	if err != nil {
		return nil, err
	}
	if operatorFile != "" {
		command += " serve --config " + operatorFile
	}
	temp := filepath.Join(s.Dir, "tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	d := &Dispatcher{Name: name, stage: s, log: filepath.Join(s.Dir, name+".log"), ended: make(chan struct{})}
	output, err := os.Create(d.log)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	d.cmd = exec.Command("/bin/sh", "-c", command)
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = s.Root, output, output
	d.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+temp)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	s.Note("%s: started, process %d: %s", name, d.cmd.Process.Pid, command)
	s.mu.Lock()
	s.procs = append(s.procs, d)
	s.mu.Unlock()
	go func() {
		_ = d.cmd.Wait()
		d.code = d.cmd.ProcessState.ExitCode()
		s.Note("%s: ended, %s", name, d.cmd.ProcessState)
		close(d.ended)
	}()
	return d, nil
}

// runCommand returns the run command of the deploy file.
func (s *Stage) runCommand() (string, error) {
	file, err := os.Open(filepath.Join(s.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), `run = "`); ok {
			return strings.TrimSuffix(text, `"`), nil
		}
	}
	return "", fmt.Errorf("no run command in %s", file.Name())
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(signal syscall.Signal) {
	d.stage.Note("%s: %s is sent", d.Name, signal)
	_ = d.cmd.Process.Signal(signal)
}

// HasEnded reports whether the process has ended, and its exit code.
func (d *Dispatcher) HasEnded() (ended bool, code int) {
	select {
	case <-d.ended:
		return true, d.code
	default:
		return false, 0
	}
}

// AwaitEnd waits for the end of the process and reports whether it came within a time.
func (d *Dispatcher) AwaitEnd(within time.Duration) bool {
	select {
	case <-d.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// awaitYes waits until a GET of url answers 200, and returns an error if it does not in time.
func (d *Dispatcher) awaitYes(url string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil {
		if ended, code := d.HasEnded(); ended {
			return fmt.Errorf("%s ended with exit code %d", d.Name, code)
		}
		if response, err := client.Get(url); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.stage.Note("%s: yes at %s", d.Name, url)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s: no yes at %s within %v", d.Name, url, within)
}

// kill ends the process at once.
func (d *Dispatcher) kill() {
	if ended, _ := d.HasEnded(); !ended {
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
}

// noteLog copies the first lines of the process's log to the record.
func (d *Dispatcher) noteLog() {
	const lines = 60
	file, err := os.Open(d.log)
	if err != nil {
		return
	}
	defer file.Close()
	text := bufio.NewScanner(file)
	for n := 0; n < lines && text.Scan(); n++ {
		d.stage.Note("%s log: %s", d.Name, text.Text())
	}
}
