package lab

import (
	"fmt"
	"sync"
	"time"
)

// Links holds the TCP relays of a run, one for each pair of a dispatcher and a worker and one for
// each command channel.
type Links struct {
	Workers  [][]*Relay // by dispatcher, by worker
	Channels []*Relay
	events   []LinkEvent
	mu       sync.Mutex
}

// LinkEvent is a change or fault that a run injected, with its time.
type LinkEvent struct {
	At   time.Time
	What string
}

// RecordEvent records an event that happens now. Its arguments are those of fmt.Sprintf.
func (l *Links) RecordEvent(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, LinkEvent{time.Now(), fmt.Sprintf(format, args...)})
}

// Events returns the recorded events in the order in which they were recorded.
func (l *Links) Events() []LinkEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LinkEvent(nil), l.events...)
}

// SetWorkerLinks sets the fault and delay of the links of all pairs of a dispatcher and a worker
// for which pick returns true, all at the same time. It returns the first error.
func (l *Links) SetWorkerLinks(fault Fault, delay time.Duration, pick func(dispatcher, worker int) bool) error {
	var wait sync.WaitGroup
	errs := make(chan error, 1)
	n := 0
	for dispatcher, row := range l.Workers {
		for worker, relay := range row {
			if !pick(dispatcher, worker) {
				continue
			}
			n++
			wait.Add(1)
			go func() {
				defer wait.Done()
				if err := relay.Set(fault, delay); err != nil {
					select {
					case errs <- fmt.Errorf("link of dispatcher %d to worker %d: %w", dispatcher, worker, err):
					default:
					}
				}
			}()
		}
	}
	wait.Wait()
	l.RecordEvent("%d links to workers: %s, delay %s", n, fault, delay)
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// Close closes all links and waits until their goroutines have ended.
func (l *Links) Close() {
	var wait sync.WaitGroup
	all := append([]*Relay(nil), l.Channels...)
	for _, row := range l.Workers {
		all = append(all, row...)
	}
	for _, relay := range all {
		wait.Add(1)
		go func() { defer wait.Done(); relay.Close() }()
	}
	wait.Wait()
}
