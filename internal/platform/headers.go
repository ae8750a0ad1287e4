package platform

// Headers of a request from a client.
const (
	callIDHeader         = "X-Call-Id"
	classHeader          = "X-Class"
	customerHeader       = "X-Customer"
	patienceHeader       = "X-Patience-Ms"
	extrasHeader         = "X-Extras"
	idempotencyKeyHeader = "X-Dedupe-Key" // for classes whose calls are idempotent by key
	retryHeader          = "X-Repeat"     // marks a retry by the client
)

// retryAfterMillisHeader is Retry-After in milliseconds, sent to a client with a rejection.
const retryAfterMillisHeader = "X-Come-Back-Ms"

// Headers of a request to an executor.
const (
	requestIDHeader    = "X-Hop-Id"
	functionHeader     = "X-Thing"
	executorKeyHeader  = "X-Replay-Key" // the idempotency key
	budgetHeader       = "X-Budget"     // milliseconds until the deadline of the client
	userAgentHeader    = "User-Agent"   // set to no value, so that net/http adds no default
	executorCallPath   = "/c/"          // followed by a class or a function
	executorHealthPath = "/busy"
)

// Headers of an executor's response.
const (
	noEffectHeader   = "X-No-Effect" // "1": the request has not run
	warmthHeader     = "X-Tell"
	concurrentHeader = "X-Same" // requests in flight on the copy
	copiesHeader     = "X-N"    // copies loaded by a load order
	loadReportHeader = "X-Report"
)
