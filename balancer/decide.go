// Package balancer chooses a worker for each call of a function platform: Load/Affinity with ε, after Bunt et
// al. (PAPER 4.2), and what that rule needs where workers fail. The interface (settings, events, actions) is
// in api.go. A Dispatcher is one single-threaded state machine: no clock, no goroutine, no I/O, no globals.
package balancer

import (
	"math"
)

// Constants. Each is a share or a multiple of something told in the settings or observed.
const (
	epsilon                 = 1.0  // a holder may carry this much more than the lightest, at the least (Table 4)
	minLossProbability      = 0.02 // share of answers taken as lost before anything is known, and at the least
	exponentialDeviation    = 0.74 // mean deviation of an exponential time, in means: how the tail of answers is read
	slowWorkerTolerance     = 2.0  // a worker that answers others gets this many overdue times before a second attempt
	loadTimeWeight          = 0.1  // weight of a new figure in a running mean: about the last ten count
	latencyWeight           = 0.05 // the same for times of answers and for lost ones, which come often
	loadShareWeight         = 0.02 // for the share of answers that began a load: rare, so over some fifty
	storeSlowdownWeight     = 0.2  // for the store's pace: it turns slow at once, and few loads tell
	paceWeight              = 0.3  // for how long one worker's calls take: one of many dispatchers gets few answers of it
	maxPace                 = 8.0
	classMixWeight          = 0.01  // for the mix of classes among the last calls
	maxStoreSlowdown        = 8.0   // a store this much slower than told is as good as none
	initialLatencyShare     = 0.25  // of an aim: the time of an answer before any is known, half of it the deviation
	initialLoadTimeShare    = 0.5   // of the shortest aim: the same for a load
	ringWindow              = 16    // places on the ring that a choice in a long list looks at, and holders at most
	sampleSize              = 16    // drawn beside them: of all these one is of the lightest tenth but once in 29
	loadReportWeight        = 0.5   // weight of a load report: it is late and noisy
	failureRatePenalty      = 4.0   // how much heavier a worker counts whose every call fails
	hedgeBudgetRatio        = 0.1   // second attempts against slow but living workers, of all requests
	slowStartCarryOver      = 0.7   // part of a draw left over that the next slot has
	slowStartIdleShare      = 0.5   // of the multiple, of what the middle worker has in flight
	slowStartMargin         = 0.35  // of the cold budget: the rest is for chance, bursts and unequal traffic
	slowStartSlots          = 3     // draws in a cold window: a window cuts one more, and one draw may round up
	similarLoadTolerance    = 0.25  // workers this little heavier than the middle are as good as the lightest
	wellInformedDispatchers = 5.0   // dispatchers of which each still sees enough of every worker by itself
	targetConcurrencyUse    = 0.5   // of a copy's lanes, how many are taken on the mean where a function has its places
	gossipCostShare         = 0.005 // of the result: what a call may cost in reports, and again in digests
	minMessagePrice         = 0.002 // price taken for a message where less is told: each one is read by its receiver
	countsPerHolder         = 8     // workers told of for one new holder: the hash guesses holders, so sums come first
	maxGossipBudget         = 10.0  // what may be saved up for messages
	leaderTermObjectives    = 2     // shortest aims for which one dispatcher collects: a dead one is missed no longer
	syncPeers               = 3     // dispatchers asked for their beliefs after a restart
	maintenanceRounds       = 8     // housekeeping rounds in the shortest aim
	loadPriceScale          = 0.012 // over the prices of a load and of idle memory: share of loads that counts as many
	rejectFirstWait         = 0.5   // of the aim: from this expected time on the calls worth least are refused
	rejectAllWait           = 0.9   // and from this on all: half of the calls take longer than the mean
	rejectFirstOccupancy    = 0.7   // of the room for open calls: the same two
	rejectAllOccupancy      = 0.95
	queuedDeviations        = 1.5  // calls out for longer than mean + this many deviations are not counted as queued
	holdTimeShare           = 0.4  // of a call's time: for so long it waits here for a load, then where the load is
	minTrafficShare         = 0.02 // our part of all answers is taken for no less
	minCallsPerKeepAlive    = 0.8  // calls expected within the keep-alive, below which a copy is not worth its memory
	waitPriorCalls          = 4    // calls of usual length that weigh against chance in the expected time
	forever                 = int64(math.MaxInt64)
)
