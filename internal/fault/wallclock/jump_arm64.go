//go:build linux && cgo

package wallclock

/*
#include <time.h>
#include <sys/syscall.h>

int kernel_clock_gettime(clockid_t id, struct timespec *ts) {
	register long number __asm__("x8") = SYS_clock_gettime;
	register long result __asm__("x0") = id;
	register struct timespec *time __asm__("x1") = ts;
	__asm__ volatile("svc #0" : "+r"(result) : "r"(number), "r"(time) : "memory", "cc");
	return (int)result;
}

static void flush_instruction_cache(void *start, void *end) { __builtin___clear_cache(start, end); }
*/
import "C"

import (
	"encoding/binary"
	"sync/atomic"
	"unsafe"
)

const (
	entrySymbol    = "__kernel_clock_gettime"
	entryAlignment = 4  // bytes
	entryLength    = 4  // bytes: b offset
	farJumpLength  = 16 // bytes: ldr x16, target; br x16; target

	branch          = 0x14000000
	branchMask      = 1<<26 - 1  // of the offset, in instructions
	instructionSize = 4          // bytes
	loadTargetX16   = 0x58000050 // ldr x16, 8 bytes further on
	branchX16       = 0xd61f0200 // br x16
)

// writeFarJump writes a jump to the address target at the start of code, through register x16,
// which a call may change.
func writeFarJump(code []byte, target uint64) {
	binary.LittleEndian.PutUint32(code, loadTargetX16)
	binary.LittleEndian.PutUint32(code[4:], branchX16)
	binary.LittleEndian.PutUint64(code[8:], target)
	flushInstructionCache(code[:farJumpLength])
}

// writeNearJump writes a jump from offset entry to offset far of image, in one atomic store.
func writeNearJump(image []byte, entry, far int) {
	word := (*uint32)(unsafe.Pointer(&image[entry]))
	atomic.StoreUint32(word, branch|uint32((far-entry)/instructionSize)&branchMask)
	flushInstructionCache(image[entry : entry+entryLength])
}

// flushInstructionCache has all processors fetch the instructions in code anew.
func flushInstructionCache(code []byte) {
	start := unsafe.Pointer(&code[0])
	C.flush_instruction_cache(start, unsafe.Add(start, len(code)))
}
