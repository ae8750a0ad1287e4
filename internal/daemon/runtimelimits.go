package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"oakthread/internal/platform"
)

const (
	// memoryLimitRatio is the part of the memory limit that the Go runtime gets as its soft limit,
	// beyond which the garbage collector works harder.
	memoryLimitRatio = 0.7
	// gcPercent is the growth of the heap in per cent that starts a collection. A small heap
	// touches little fresh memory.
	gcPercent = 150
)

// setRuntimeLimits fits the Go runtime to the limits of the configuration.
func setRuntimeLimits(cfg *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(gcPercent)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Memory)))
	}
}
