package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"oakthread/internal/platform"
)

// limits fits the run time to the machine.
func limits(cfg *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(collectAt)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Memory)))
	}
}
