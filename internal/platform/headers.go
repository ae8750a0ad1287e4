package platform

// Headers of a client's request.
const (
	callIDHeader         = "X-Call-Id"
	classHeader          = "X-Class"
	customerHeader       = "X-Customer"
	patienceHeader       = "X-Patience-Ms"
	extrasHeader         = "X-Extras"
	idempotencyKeyHeader = "X-Dedupe-Key" // for classes that are idempotent by key
	retryHeader          = "X-Repeat"     // set by clients on their own retries
)

// retryAfterMillisHeader is Retry-After in milliseconds, in a rejection to a client.
const retryAfterMillisHeader = "X-Come-Back-Ms"

// Headers of a request to an executor.
const (
	requestIDHeader    = "X-Hop-Id"
	functionHeader     = "X-Thing"
	executorKeyHeader  = "X-Replay-Key" // the idempotency key
	budgetHeader       = "X-Budget"     // milliseconds until the client's deadline
	userAgentHeader    = "User-Agent"   // written without a value, so that net/http adds none of its own
	executorCallPath   = "/c/"          // then a class, or a function
	executorHealthPath = "/busy"
)

// Headers of an executor's response.
const (
	noEffectHeader   = "X-No-Effect" // "1": the request has not run
	warmthHeader     = "X-Tell"
	concurrentHeader = "X-Same" // requests that the copy has in flight
	copiesHeader     = "X-N"    // copies that an order has loaded
	loadReportHeader = "X-Report"
)
