// Package claims records which requests may have run, so that none of them is sent again when its id
// comes again: from a client that has left, or at the other process of an upgrade. The processes of
// an upgrade share the table, a file that they map into memory.
package claims

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"oakthread/internal/monotime"
)

const (
	// lifetime is the time after which a claim expires.
	lifetime = 5 * time.Minute
	// slotCount is the number of claims that a table holds; a power of two.
	slotCount = 1 << 15
	// windowSlots is the number of adjacent slots in which a claim may stand. In a full window a
	// new claim replaces the oldest one.
	windowSlots = 32
	// wordsPerSlot is the number of words of a slot: the hash of the id, and the time of the claim
	// in nanoseconds since the machine has been started.
	wordsPerSlot = 2
)

// locker is held while the table is changed. Lock returns an error if another process
// holds the lock for too long.
type locker interface {
	Lock() error
	Unlock()
}

// Table is a set of claimed ids. Its methods are safe for concurrent use.
type Table struct {
	now func() time.Duration // since the machine was started

	mu     sync.Mutex
	shared locker // nil: the table belongs to this process alone
	slots  []uint64
}

// New returns a table of this process.
func New() *Table {
	return &Table{now: monotime.SinceBoot, slots: make([]uint64, slotCount*wordsPerSlot)}
}

// Claim claims an id. It reports false if the id was claimed before, or if that cannot be found out.
func (t *Table) Claim(id string) bool {
	claimed := false
	if err := t.locked(func() { claimed = t.claim(hash(id)) }); err != nil {
		return false
	}
	return claimed
}

// IsClaimed reports whether an id was claimed. It never blocks, and may miss a claim that is being
// made: Claim decides.
func (t *Table) IsClaimed(id string) bool {
	_, claimed := t.find(hash(id))
	return claimed
}

// locked calls use with the table locked.
func (t *Table) locked(use func()) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shared != nil {
		if err := t.shared.Lock(); err != nil {
			return err
		}
		defer t.shared.Unlock()
	}
	use()
	return nil
}

// claim adds a hash and reports whether it was missing. The caller holds the lock.
func (t *Table) claim(hashed uint64) bool {
	slot, claimed := t.find(hashed)
	if claimed {
		return false
	}
	atomic.StoreUint64(&t.slots[slot+1], uint64(t.now()))
	atomic.StoreUint64(&t.slots[slot], hashed)
	return true
}

// find returns the slot of a hash, and whether it is claimed. If it is not, the slot is the one in
// its window that is free or has the oldest claim.
func (t *Table) find(hashed uint64) (slot int, claimed bool) {
	now := t.now()
	oldest, oldestAge := 0, time.Duration(-1)
	for i := range windowSlots {
		at := int((hashed+uint64(i))%slotCount) * wordsPerSlot
		held, claimedAt := atomic.LoadUint64(&t.slots[at]), atomic.LoadUint64(&t.slots[at+1])
		age := now - time.Duration(claimedAt)
		expired := held == 0 || age < 0 || age > lifetime
		if held == hashed && !expired {
			return at, true
		}
		if expired {
			age = lifetime + 1
		}
		if age > oldestAge {
			oldest, oldestAge = at, age
		}
	}
	return oldest, false
}

// hash returns a hash of an id that is never 0, which marks a free slot.
func hash(id string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	return max(sum.Sum64(), 1)
}
