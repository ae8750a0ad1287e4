package lab

import (
	"fmt"
	"sync"
	"time"
)

// Links holds every link of a run: a relay for each pair of a dispatcher and a worker, and one for
// each command channel.
type Links struct {
	Workers  [][]*Relay // by dispatcher, by worker
	Channels []*Relay
	did      []Deed
	mu       sync.Mutex
}

// Deed is what was done when, for the report.
type Deed struct {
	At   time.Time
	What string
}

// Did notes what is done now.
func (f *Links) Did(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.did = append(f.did, Deed{time.Now(), fmt.Sprintf(format, args...)})
}

// Deeds lists what was done.
func (f *Links) Deeds() []Deed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Deed(nil), f.did...)
}

// Between sets the links of all pairs that pick names, at once.
func (f *Links) Between(what Fault, delay time.Duration, pick func(dispatcher, worker int) bool) error {
	var wait sync.WaitGroup
	errs := make(chan error, 1)
	n := 0
	for d, row := range f.Workers {
		for b, relay := range row {
			if !pick(d, b) {
				continue
			}
			n++
			wait.Add(1)
			go func() {
				defer wait.Done()
				if err := relay.Set(what, delay); err != nil {
					select {
					case errs <- fmt.Errorf("link of dispatcher %d to worker %d: %w", d, b, err):
					default:
					}
				}
			}()
		}
	}
	wait.Wait()
	f.Did("%d ways to boxes: %s, delay %s", n, what, delay)
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// Close closes all links.
func (f *Links) Close() {
	var wait sync.WaitGroup
	all := append([]*Relay(nil), f.Channels...)
	for _, row := range f.Workers {
		all = append(all, row...)
	}
	for _, relay := range all {
		wait.Add(1)
		go func() { defer wait.Done(); relay.Close() }()
	}
	wait.Wait()
}
