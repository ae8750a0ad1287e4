package balancer

import (
	"cmp"
	"slices"
)

// keptFunctionsRatio is the share of Settings.MaxFunctions that an eviction leaves.
const keptFunctionsRatio = 0.75

// isFull reports whether the table has a maximum number of functions.
func (t *holderTable) isFull(limit int) bool { return len(t.functions) >= limit }

// taggedFunction is a function with its place in the table.
type taggedFunction struct {
	tag uint32
	*functionState
}

// evictFunctions removes the functions that were called least recently, first those that no worker
// has served: a client can name any number of these. Functions with a pending request, an attempt or
// a load order in flight are not removed.
func (b *Balancer) evictFunctions() {
	inUse := map[*functionState]bool{}
	for _, request := range b.requests {
		inUse[request.function] = true
	}
	idle := make([]taggedFunction, 0, len(b.holders.functions))
	for tag, function := range b.holders.functions {
		if !inUse[function] && !function.isBusy() {
			idle = append(idle, taggedFunction{tag, function})
		}
	}
	slices.SortFunc(idle, func(a, b taggedFunction) int {
		return cmp.Or(compareServed(a, b), cmp.Compare(a.lastRequestAt, b.lastRequestAt), cmp.Compare(a.tag, b.tag))
	})
	excess := len(b.holders.functions) - int(keptFunctionsRatio*float64(b.settings.MaxFunctions))
	for _, function := range idle[:min(max(excess, 0), len(idle))] {
		for _, holder := range function.holders {
			holder.detach()
		}
		delete(b.holders.functions, function.tag)
	}
}

// compareServed orders functions that no worker has served before the others.
func compareServed(a, b taggedFunction) int {
	switch {
	case a.served == b.served:
		return 0
	case b.served:
		return -1
	}
	return 1
}

// isBusy reports whether an attempt or a load order for the function is in flight.
func (f *functionState) isBusy() bool {
	return len(f.waiting) > 0 || slices.ContainsFunc(f.holders, func(holder *holderState) bool {
		return holder.inFlight > 0 || holder.orderInFlight
	})
}
