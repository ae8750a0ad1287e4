// Package fault injects faults into the testbed's own dispatcher processes: steps of their wall
// clock and socket faults, at times given in a file. Production programs do not import it.
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

// Step sets the wall clock's offset from the system's clock to Offset from At on.
type Step struct {
	At     time.Time     `json:"at"`
	Offset time.Duration `json:"offset"`
}

// Plan holds the faults of one node. Its times are those of the system's clock.
type Plan struct {
	Seed    uint64           `json:"seed"`
	Steps   []Step           `json:"steps,omitempty"`
	Sockets []sockets.Window `json:"sockets,omitempty"`
}

// Read reads a plan from a JSON file. The error states that the file cannot be read or parsed.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fault plan: %w", err)
	}
	p := &Plan{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("fault plan %s: %w", path, err)
	}
	return p, nil
}

// Write writes the plan as JSON to a file, which is replaced.
func (p *Plan) Write(path string) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Start starts the plan and returns the network that the node's sockets must use. Faults whose time
// has already come take effect at once. The error states that the wall clock cannot be stepped.
func (p *Plan) Start() (platform.Network, error) {
	now := time.Now()
	i := sockets.New(p.Seed)
	i.Schedule(p.Sockets) // before the wall clock is stepped: its timers are computed from time.Now
	for _, s := range p.Steps {
		if s.At.After(now) {
			time.AfterFunc(s.At.Sub(now), func() { _ = wallclock.Set(s.Offset) }) // Start itself reports a failure
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
