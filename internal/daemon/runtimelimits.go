package daemon

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"oakthread/internal/platform"
)

const (
	// memoryLimitRatio is the fraction of the configured memory limit that the Go runtime gets as its
	// soft limit, beyond which the garbage collector runs more often.
	memoryLimitRatio = 0.7
	// gcPercent is the heap growth in percent that triggers a garbage collection. A small heap
	// touches little fresh memory.
	gcPercent = 150
	// unmanagedReserve is the memory, in bytes, that is left to what the Go runtime does not manage,
	// beside the program's own pages.
	unmanagedReserve = 2 << 20
	// minRuntimeLimit is the least soft limit in bytes.
	minRuntimeLimit = 8 << 20
	// requestMemoryDivisor is the divisor for the share of the memory limit that the requests of
	// all clients may hold together.
	requestMemoryDivisor = 16
	// functionMemoryDivisor is the same for what is remembered of functions, and functionBytes the
	// memory of one function with its holders.
	functionMemoryDivisor = 8
	functionBytes         = 512
)

// maxFunctions returns how many functions a process that may take memory bytes remembers, 0 for the
// default.
func maxFunctions(memory int64) int {
	return int(memory / functionMemoryDivisor / functionBytes)
}

// setRuntimeLimits sets the limits of the Go runtime to the CPU and memory limits of the
// configuration.
func setRuntimeLimits(cfg *platform.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(gcPercent)
	updateRuntimeMemoryLimit(cfg.Memory)
}

// updateRuntimeMemoryLimit sets the soft limit of the Go runtime for a process that may take memory
// bytes; 0 sets none. It is called again as more pages of the program become resident.
func updateRuntimeMemoryLimit(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(runtimeMemoryLimit(memory, residentFileBytes()))
	}
}

// runtimeMemoryLimit returns the soft limit of the Go runtime for a process that may take memory
// bytes, of which fileBytes are taken by pages of the program.
func runtimeMemoryLimit(memory, fileBytes int64) int64 {
	limit := min(int64(memoryLimitRatio*float64(memory)), memory-fileBytes-unmanagedReserve)
	return max(limit, minRuntimeLimit)
}

// residentFileBytes returns the size of the process's resident pages that are backed by files, 0 if
// the kernel does not give it (proc(5), statm).
func residentFileBytes() int64 {
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 3 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
