package balancer

import "cmp"

const (
	loadTimeWeight      = 0.1  // weight of a load in the mean load time: about the last ten count
	loadShareWeight     = 0.02 // weight of an answer in the share of loads: loads are rare, so about fifty count
	storeSlowdownWeight = 0.2  // weight of a load in the store's slowdown: few loads show a sudden change
	// maxStoreSlowdown bounds the slowdown: a store this much slower than stated is as good as
	// none.
	maxStoreSlowdown = 8.0
	// initialLoadTimeShare is the load time assumed before any is known, as a share of the shortest
	// latency objective; its deviation is half of it.
	initialLoadTimeShare = 0.5
)

// loadModel learns what loads of functions cost.
type loadModel struct {
	duration latency // beyond the call itself
	slowdown float64 // of the store: observed load time over the stated one, at least 1
	share    float64 // of recent answers that needed a load
}

// newLoadModel returns the model that holds before any load is observed: every answer needs one.
func newLoadModel(shortestObjective int64) loadModel {
	mean := initialLoadTimeShare * float64(shortestObjective)
	deviation := initialLoadTimeShare / 2 * float64(shortestObjective)
	return loadModel{duration: latency{mean, deviation}, slowdown: 1, share: 1}
}

// observe learns the duration of a load, in nanoseconds, and from the stated one how slow the store
// is.
func (m *loadModel) observe(f *functionState, duration float64) {
	stated := cmp.Or(float64(max(0, f.loadTime)), m.duration.mean)
	slowdown := min(max(duration/max(stated, 1), 1), maxStoreSlowdown)
	m.slowdown += storeSlowdownWeight * (slowdown - m.slowdown)
	m.duration.observe(duration, loadTimeWeight)
}

// observeFailure learns that a load failed, which counts as a very slow one.
func (m *loadModel) observeFailure() {
	m.slowdown += loadTimeWeight * (maxStoreSlowdown/2 - m.slowdown)
}

// observeAnswer learns whether an answer needed a load.
func (m *loadModel) observeAnswer(neededLoad bool) {
	needed := 0.0
	if neededLoad {
		needed = 1
	}
	m.share += loadShareWeight * (needed - m.share)
}

// expected returns the time, in nanoseconds, that a load of f is expected to take.
func (m *loadModel) expected(f *functionState) float64 {
	return max(float64(f.loadTime), m.duration.mean) * m.slowdown
}
