package admin

import (
	"maps"
	"slices"

	"oakthread/balancer"
)

// Decisions are decisions of operators on workers that are in force but not stored yet: true ejects
// a worker, false restores it.
type Decisions map[balancer.WorkerID]bool

// Apply returns the workers that are ejected once the decisions are applied to the stored set, in
// ascending order.
func (d Decisions) Apply(stored []balancer.WorkerID) []balancer.WorkerID {
	ejected := make(map[balancer.WorkerID]bool, len(stored)+len(d))
	for _, id := range stored {
		ejected[id] = true
	}
	maps.Copy(ejected, d)
	maps.DeleteFunc(ejected, func(_ balancer.WorkerID, isEjected bool) bool { return !isEjected })
	return slices.Sorted(maps.Keys(ejected))
}
