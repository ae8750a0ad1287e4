//go:build linux && amd64 && cgo

// Package wallclock steps the wall clock of the running process and of no other, so that tests can show what a step of
// the system's clock does to a real program. The monotonic clock and timers are left alone, as the kernel leaves them
// when CLOCK_REALTIME is set.
//
// It stands on the process's own copy of the vDSO: the entry of clock_gettime is replaced by a
// function that asks the kernel and adds the offset to CLOCK_REALTIME. So every time.Now of the
// program sees the step. It does not show what the kernel does with absolute timers of
// CLOCK_REALTIME, of which the Go runtime makes none, nor the times of files.
//
// It is for tests and the laboratory: no production program may import it.
package wallclock

/*
#cgo CFLAGS: -O2 -fno-stack-protector
#include <time.h>
#include <sys/syscall.h>

static volatile long long wall_offset_ns;

static int stepped_clock_gettime(clockid_t id, struct timespec *ts) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "0"(SYS_clock_gettime), "D"((long)id), "S"(ts) : "rcx", "r11",
		"memory");
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
	return (int)result;
}

static void *stepped_entry(void) { return (void *)stepped_clock_gettime; }
static void set_wall_offset(long long ns) { wall_offset_ns = ns; }
*/
import "C"

import (
	"bufio"
	"bytes"
	"debug/elf"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ErrUnsupported says that this process's vDSO cannot be changed as this package needs.
var ErrUnsupported = errors.New("wallclock: the vDSO of this process cannot be changed")

const (
	entrySymbol    = "__vdso_clock_gettime"
	jumpLength     = 5  // jmp rel32
	absoluteLength = 12 // movabs rax, target; jmp rax
)

var (
	install    sync.Once
	installErr error
)

// Set moves the wall clock of this process to the system's plus offset, at once. The first call changes the vDSO.
func Set(offset time.Duration) error {
	install.Do(func() { installErr = replaceEntry() })
	if installErr != nil {
		return installErr
	}
	C.set_wall_offset(C.longlong(offset.Nanoseconds()))
	return nil
}

// replaceEntry has clock_gettime of the vDSO jump to ours: by a near jump, written in one store, to a far one in the
// unused end of the mapping.
func replaceEntry() error {
	base, size, err := mapping()
	if err != nil {
		return err
	}
	// The mapping lives as long as the process: nothing moves or frees it.
	image := unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&base))), size)
	entry, err := entryOffset(image)
	if err != nil {
		return err
	}
	far := size - absoluteLength
	if len(bytes.Trim(image[far:], "\x00")) > 0 || entry%8 != 0 {
		return ErrUnsupported
	}
	if err := unix.Mprotect(image, unix.PROT_READ|unix.PROT_WRITE|unix.PROT_EXEC); err != nil {
		return fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	copy(image[far:], []byte{0x48, 0xb8})
	binary.LittleEndian.PutUint64(image[far+2:], uint64(uintptr(C.stepped_entry())))
	copy(image[far+10:], []byte{0xff, 0xe0})
	word := (*uint64)(unsafe.Pointer(&image[entry]))
	old := atomic.LoadUint64(word)
	var jump [8]byte
	binary.LittleEndian.PutUint64(jump[:], old)
	jump[0] = 0xe9
	binary.LittleEndian.PutUint32(jump[1:], uint32(int32(far-entry-jumpLength)))
	atomic.StoreUint64(word, binary.LittleEndian.Uint64(jump[:]))
	return nil
}

// mapping is where this process's vDSO lies.
func mapping() (base uintptr, size int, err error) {
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

// entryOffset is where clock_gettime begins in the vDSO's image.
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
		if symbol.Name == entrySymbol && int(symbol.Value)+8 <= len(image) {
			return int(symbol.Value), nil
		}
	}
	return 0, ErrUnsupported
}
