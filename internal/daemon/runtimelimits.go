package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"oakthread/internal/platform"
)

const (
	// memoryLimitRatio is the fraction of the configured memory limit that the Go runtime gets as its
	// soft limit, beyond which the garbage collector runs more often.
	memoryLimitRatio = 0.7
	// gcPercent is the heap growth in percent that triggers a garbage collection. A small heap
	// touches little fresh memory.
	gcPercent = 150
)

// setRuntimeLimits sets the limits of the Go runtime to the CPU and memory limits of the
// configuration.
func setRuntimeLimits(cfg *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(gcPercent)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Memory)))
	}
}
