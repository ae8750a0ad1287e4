//go:build linux && cgo && (amd64 || arm64)

// Package wallclock steps the wall clock of the running process only, so that tests can show how a
// program reacts to a step of the system's clock. The monotonic clock and timers do not change, as
// when CLOCK_REALTIME is set in the kernel.
//
// It patches the process's own copy of the vDSO: the entry of clock_gettime jumps to a function
// that queries the kernel and adds the offset to CLOCK_REALTIME and CLOCK_REALTIME_COARSE. So every
// time.Now of the program sees the step. Absolute kernel timers of CLOCK_REALTIME, of which the Go
// runtime creates none, and file times do not see it.
//
// It is for tests and the testbed; no production program may import it.
package wallclock

/*
#cgo CFLAGS: -O2 -fno-stack-protector
#include <time.h>

// kernel_clock_gettime queries the kernel without the vDSO; each architecture defines its own.
int kernel_clock_gettime(clockid_t id, struct timespec *ts);

static volatile long long wall_offset_ns;

static int stepped_clock_gettime(clockid_t id, struct timespec *ts) {
	int result = kernel_clock_gettime(id, ts);
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		long long ns = ts->tv_nsec + wall_offset_ns;
		long long seconds = ns / 1000000000LL;
		ns -= seconds * 1000000000LL;
		if (ns < 0) {
			ns += 1000000000LL;
			seconds--;
		}
		ts->tv_sec += seconds;
		ts->tv_nsec = ns;
	}
	return result;
}

static void *stepped_entry(void) { return (void *)stepped_clock_gettime; }
static void set_wall_offset(long long ns) { wall_offset_ns = ns; }
*/
import "C"

import (
	"bufio"
	"bytes"
	"debug/elf"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ErrUnsupported states that the vDSO of this process cannot be patched.
var ErrUnsupported = errors.New("wallclock: the vDSO of this process cannot be patched")

var (
	installOnce sync.Once
	installErr  error
)

// Set sets the wall clock of this process to the system's clock plus offset. The first call patches
// the vDSO; if that fails, this and all later calls return an error that is ErrUnsupported.
func Set(offset time.Duration) error {
	installOnce.Do(func() { installErr = replaceEntry() })
	if installErr != nil {
		return installErr
	}
	C.set_wall_offset(C.longlong(offset.Nanoseconds()))
	return nil
}

// replaceEntry redirects clock_gettime of the vDSO to stepped_clock_gettime. The entry gets a near
// jump, written in one atomic store, to a far jump in the unused end of the mapping.
func replaceEntry() error {
	base, size, err := vdsoMapping()
	if err != nil {
		return err
	}
	// The vDSO stays mapped at the same address for the life of the process.
	image := unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&base))), size)
	entry, err := entryOffset(image)
	if err != nil {
		return err
	}
	far := size - farJumpLength
	if len(bytes.Trim(image[far:], "\x00")) > 0 || entry%entryAlignment != 0 {
		return ErrUnsupported
	}
	if err := unix.Mprotect(image, unix.PROT_READ|unix.PROT_WRITE|unix.PROT_EXEC); err != nil {
		return fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	writeFarJump(image[far:], uint64(uintptr(C.stepped_entry())))
	writeNearJump(image, entry, far)
	return nil
}

// vdsoMapping returns the address and the size in bytes of this process's vDSO.
func vdsoMapping() (base uintptr, size int, err error) {
	maps, err := os.Open("/proc/self/maps")
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	defer maps.Close()
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		if !strings.HasSuffix(lines.Text(), "[vdso]") {
			continue
		}
		var end uintptr
		if _, err := fmt.Sscanf(lines.Text(), "%x-%x", &base, &end); err != nil {
			return 0, 0, fmt.Errorf("%w: %w", ErrUnsupported, err)
		}
		return base, int(end - base), nil
	}
	return 0, 0, ErrUnsupported
}

// entryOffset returns the offset of clock_gettime in the vDSO image.
func entryOffset(image []byte) (int, error) {
	file, err := elf.NewFile(bytes.NewReader(image))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	symbols, err := file.DynamicSymbols()
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	for _, symbol := range symbols {
		if symbol.Name == entrySymbol && int(symbol.Value)+entryLength <= len(image) {
			return int(symbol.Value), nil
		}
	}
	return 0, ErrUnsupported
}
