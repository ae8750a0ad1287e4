package balancer

import "cmp"

const (
	loadTimeWeight      = 0.1  // smoothing of the mean load time: about the last ten count
	loadShareWeight     = 0.02 // smoothing of the share of loads: loads are rare, so about fifty count
	storeSlowdownWeight = 0.2  // smoothing of the store's slowdown: few loads must show a sudden change
	// maxStoreSlowdown limits the ratio of observed to stated load time: a store of functions that is
	// slower than this is as good as unavailable.
	maxStoreSlowdown = 8.0
	// initialLoadTimeShare is the load time assumed before any load is observed, as a share of the
	// shortest latency objective; the assumed deviation is half of it.
	initialLoadTimeShare = 0.5
)

// loadModel estimates the cost of loading functions.
type loadModel struct {
	duration latency // load time without the call itself
	slowdown float64 // of the store: ratio of observed to stated load time, at least 1
	share    float64 // share of recent answers that needed a load
}

// newLoadModel returns the model used before any load is observed: it assumes that every answer
// needs one.
func newLoadModel(shortestObjective int64) loadModel {
	mean := initialLoadTimeShare * float64(shortestObjective)
	deviation := initialLoadTimeShare / 2 * float64(shortestObjective)
	return loadModel{duration: latency{mean, deviation}, slowdown: 1, share: 1}
}

// observe updates the model with the duration of a load in nanoseconds, and derives the slowdown of
// the store from the stated load time.
func (m *loadModel) observe(function *functionState, duration float64) {
	stated := cmp.Or(float64(max(0, function.loadTime)), m.duration.mean)
	slowdown := min(max(duration/max(stated, 1), 1), maxStoreSlowdown)
	m.slowdown += storeSlowdownWeight * (slowdown - m.slowdown)
	m.duration.observe(duration, loadTimeWeight)
}

// observeFailure records a failed load, which counts as a very slow one.
func (m *loadModel) observeFailure() {
	m.slowdown += loadTimeWeight * (maxStoreSlowdown/2 - m.slowdown)
}

// observeAnswer records whether an answer needed a load.
func (m *loadModel) observeAnswer(neededLoad bool) {
	needed := 0.0
	if neededLoad {
		needed = 1
	}
	m.share += loadShareWeight * (needed - m.share)
}

// expected returns the expected duration of loading a function, in nanoseconds.
func (m *loadModel) expected(function *functionState) float64 {
	return max(float64(function.loadTime), m.duration.mean) * m.slowdown
}
