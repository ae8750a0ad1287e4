package daemon

import (
	"oakthread/internal/platform"
	"oakthread/webhook"
)

const (
	// reservedSockets are the descriptors for everything but clients and workers: the standard
	// streams, epoll, the listeners and the endpoint watch.
	reservedSockets = 20
	// spareClientDivisor gives this part of the descriptors to connections of clients that come and
	// go.
	spareClientDivisor = 16
	// clientDivisor gives at most this part of the descriptors to connections of clients with a
	// request.
	clientDivisor = 3
)

// socketBudget divides the file descriptors of the process. Workers get what the others leave,
// since a lack of sockets to workers rejects requests.
type socketBudget struct {
	clients     int // connections of clients
	maxRequests int // requests in flight: one on each connection, without the spare ones
	workers     int // connections to workers
}

// newSocketBudget returns the budget for the limit that the configuration names.
func newSocketBudget(cfg *platform.Config, options Options) socketBudget {
	clients, others := cfg.Sockets/clientDivisor+cfg.Sockets/spareClientDivisor, reservedSockets
	if options.Webhooks != nil {
		others += webhook.MaxConns + webhook.MaxDeliveryConns
	}
	if http2 := http2Options(options.File); http2 != nil {
		others += http2.MaxConns() + 1 // its listener
	}
	return socketBudget{
		clients:     clients,
		maxRequests: cfg.Sockets / clientDivisor,
		workers:     max(cfg.Sockets-clients-others, reservedSockets),
	}
}
