package endpoints

import (
	"time"
)

// Config is what a List is made with. The zero value works.
type Config struct {
	Seed      uint64
	Siblings  int           // dispatchers that may have restarted together with this one
	MaxWait   time.Duration // longest wait told to a call; 0: 1 s
	Budget    float64       // part of its former load that a box which may be cold can take; 0: 0.36
	ProbeRate float64       // probes a second at one box from all together; 0: 300
	// Fresh is the baseline of experiments: kept entries count as if just told.
	Fresh bool
}

const (
	defaultHealthCheckRate = 300 // probes a second that all dispatchers together send to one box
)
