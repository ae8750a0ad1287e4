// Package fault holds what the laboratory's nodes do to themselves: steps of their wall clock and
// faults of their sockets, at times laid down in a file. Production programs do not import it.
package fault

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"oakthread/internal/fault/sockets"
	"oakthread/internal/fault/wallclock"
	"oakthread/internal/platform"
)

// Step has the wall clock stand off by Offset from At on.
type Step struct {
	At     time.Time     `json:"at"`
	Offset time.Duration `json:"offset"`
}

// Plan is a node's faults, by the system's clock.
type Plan struct {
	Seed    uint64           `json:"seed"`
	Steps   []Step           `json:"steps,omitempty"`
	Sockets []sockets.Window `json:"sockets,omitempty"`
}

// Read reads a plan.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("plan of faults: %w", err)
	}
	p := &Plan{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("plan of faults %s: %w", path, err)
	}
	return p, nil
}

// Write writes a plan.
func (p *Plan) Write(path string) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Start has the plan begin and returns what the node's sockets go through. What lies in the past is in force at once.
func (p *Plan) Start() (platform.Network, error) {
	now := time.Now()
	i := sockets.New(p.Seed)
	i.Follow(p.Sockets) // before the clock moves
	for _, s := range p.Steps {
		if s.At.After(now) {
			time.AfterFunc(s.At.Sub(now), func() { _ = wallclock.Set(s.Offset) }) // that it works is known by then
		} else if err := wallclock.Set(s.Offset); err != nil {
			return platform.Network{}, err
		}
	}
	if len(p.Steps) > 0 && p.Steps[0].At.After(now) {
		if err := wallclock.Set(0); err != nil {
			return platform.Network{}, err
		}
	}
	return i.Network(), nil
}
