package balancer

import "math"

// placementRankWeight weighs a dispatcher's own placement rank so heavily that it takes precedence
// over the rank that all dispatchers share.
const placementRankWeight = 1e6

// mix64 is the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// workerTag returns the short form of a worker's ID used in messages between dispatchers. Workers
// with the same tag share what is reported about them.
func workerTag(id WorkerID) uint16 { return uint16(id ^ id>>16) }

// functionTag returns the short form of a function's ID used in messages between dispatchers.
func functionTag(id FuncID) uint32 { return uint32(id ^ id>>32) }

// hashRank returns the rank of a worker for a function, uniform in (0, 1) and the same at every
// dispatcher.
func hashRank(function FuncID, worker WorkerID) float64 {
	return (float64(mix64(uint64(function)^uint64(worker)*0x9e3779b97f4a7c15)>>11) + 0.5) / (1 << 53)
}

// rendezvousScore turns a uniform rank into a score with which a worker ranks highest among its
// peers with a probability proportional to its weight (weighted rendezvous hashing).
func rendezvousScore(rank, weight float64) float64 { return max(weight, 1e-9) / -math.Log(rank) }

// ownPlacementKey returns a function's key in the ranking that only this dispatcher uses.
func (b *Balancer) ownPlacementKey(function FuncID) FuncID {
	return function ^ FuncID(mix64(uint64(b.settings.DispatcherIndex+1)))
}
