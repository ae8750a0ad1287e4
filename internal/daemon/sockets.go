package daemon

import (
	"oakthread/internal/platform"
	"oakthread/webhook"
)

const (
	// reservedSockets is the number of descriptors reserved for everything but clients and workers:
	// the standard streams, epoll, the listeners and the endpoint watch.
	reservedSockets = 20
	// spareClientDivisor is the divisor for the share of the descriptors that is added for client
	// connections without a request, since clients connect and disconnect.
	spareClientDivisor = 16
	// clientDivisor is the divisor for the share of the descriptors that client connections with a
	// request get at most.
	clientDivisor = 3
)

// socketBudget divides the file descriptors of the process. Connections to workers get all that
// remain, because requests are rejected when there are too few of them.
type socketBudget struct {
	clients     int // client connections, including the spare ones
	maxRequests int // requests in flight: one for each client connection that is not spare
	workers     int // connections to workers
}

// newSocketBudget returns the budget for the descriptor limit of the configuration.
func newSocketBudget(cfg *platform.Config, options Options) socketBudget {
	clients, others := cfg.Sockets/clientDivisor+cfg.Sockets/spareClientDivisor, reservedSockets
	if options.Webhooks != nil {
		others += webhook.MaxConns + webhook.MaxDeliveryConns
	}
	if http2 := http2Options(options.ConfigFile); http2 != nil {
		others += http2.MaxConns() + 1 // its listener
	}
	return socketBudget{
		clients:     clients,
		maxRequests: cfg.Sockets / clientDivisor,
		workers:     max(cfg.Sockets-clients-others, reservedSockets),
	}
}
