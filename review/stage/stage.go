// Package stage is the small test bed of the review's cases. It starts the dispatcher by the run
// command of the deploy file as a separate process, plays its workers, discovery, clients and the
// operators' systems on loopback addresses, and writes what was sent, answered and run to a record.
package stage

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case could not run
)

// firstPort is the first port that is tried for an address.
const firstPort = 9100

// limit is the longest time that a case may take; its processes are killed after that.
const limit = 110 * time.Second

// Stage is one run of a case.
type Stage struct {
	Root    string // of the repository
	Dir     string // temporary folder of this run
	Trouble bool   // false: the run does without the disruption

	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Dispatcher
	net    int // second byte of the run's loopback addresses
	next   int // number of the next address
	lock   net.Listener
}

// Run runs a case and ends the process with its result. The record is written to the file that
// RECORD names.
func Run(play func(*Stage) (broken bool, err error)) {
	runtime.LockOSThread() // the kernel kills the children when the thread that started them ends
	s, err := open()
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		os.Exit(CouldNot)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-ended:
		case <-time.After(limit):
		}
		s.Note("stopped before its end")
		s.close()
		os.Exit(CouldNot)
	}()
	broken, err := play(s)
	code := Held
	switch {
	case err != nil:
		s.Note("could not run: %v", err)
		code = CouldNot
	case broken:
		code = Broken
	}
	s.Note("exit code %d", code)
	s.close()
	os.Exit(code)
}

// open prepares a run: the folder, the record and a range of loopback addresses.
func open() (*Stage, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	s := &Stage{Root: root, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if s.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	if s.Dir, err = os.MkdirTemp("", "oakthread-review-*"); err != nil {
		return nil, err
	}
	for b := 100; b < 220 && s.lock == nil; b++ {
		if s.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.250.1:9000", b)); err == nil {
			s.net = b
		}
	}
	if s.lock == nil {
		return nil, fmt.Errorf("no free range of loopback addresses: %w", err)
	}
	s.Note("trouble: %v", s.Trouble)
	return s, nil
}

// close kills the processes of the run that are still there and removes its folder.
func (s *Stage) close() {
	for _, proc := range s.processes() {
		proc.kill()
		proc.noteLog()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lock.Close()
	s.record.Close()
	os.RemoveAll(s.Dir)
}

// processes returns the processes that the run has started.
func (s *Stage) processes() []*Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Dispatcher(nil), s.procs...)
}

// Note writes a line to the record, with the time since the start in seconds.
func (s *Stage) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time from the start of the run to at, in seconds.
func (s *Stage) Since(at time.Time) float64 { return at.Sub(s.began).Seconds() }

// Addr returns an unused address on a loopback IP of its own.
func (s *Stage) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	for port := firstPort; ; port++ {
		addr := fmt.Sprintf("127.%d.%d.%d:%d", s.net, 1+s.next/200, 1+s.next%200, port)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			listener.Close()
			return addr
		}
		if port == firstPort+100 {
			return addr // whoever listens there reports the error
		}
	}
}

// Write writes a file of the run and returns its path. It replaces the file at once, so that no
// reader sees a part of it.
func (s *Stage) Write(name, text string) (path string, err error) {
	path = filepath.Join(s.Dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}
