//go:build linux && cgo

package wallclock

/*
#include <time.h>
#include <sys/syscall.h>

int kernel_clock_gettime(clockid_t id, struct timespec *ts) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "0"(SYS_clock_gettime), "D"((long)id), "S"(ts) : "rcx", "r11",
		"memory");
	return (int)result;
}
*/
import "C"

import (
	"encoding/binary"
	"sync/atomic"
	"unsafe"
)

const (
	entrySymbol    = "__vdso_clock_gettime"
	entryAlignment = 8  // bytes
	entryLength    = 8  // bytes that writeNearJump reads and writes
	nearJumpLength = 5  // bytes: jmp rel32
	farJumpLength  = 12 // bytes: movabs rax, target; jmp rax
)

// writeFarJump writes a jump to the address target at the start of code.
func writeFarJump(code []byte, target uint64) {
	copy(code, []byte{0x48, 0xb8})
	binary.LittleEndian.PutUint64(code[2:], target)
	copy(code[10:], []byte{0xff, 0xe0})
}

// writeNearJump writes a jump from offset entry to offset far of image, in one atomic store.
func writeNearJump(image []byte, entry, far int) {
	word := (*uint64)(unsafe.Pointer(&image[entry]))
	old := atomic.LoadUint64(word)
	var jump [entryLength]byte
	binary.LittleEndian.PutUint64(jump[:], old)
	jump[0] = 0xe9
	binary.LittleEndian.PutUint32(jump[1:], uint32(int32(far-entry-nearJumpLength)))
	atomic.StoreUint64(word, binary.LittleEndian.Uint64(jump[:]))
}
