// Package adminapi is the admin HTTP API of a dispatcher, under /control: readiness, counters in
// statsd format, the health of workers as the dispatcher sees it, taking workers offline and back
// online, and taking the dispatcher out of service and back.
//
// The API has a listener of its own. A request is answered within a second; a handler that queries
// the core waits for the result for a bounded time.
package adminapi
