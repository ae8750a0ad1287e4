package endpoints

import (
	"time"

	"oakthread/balancer"
)

// Endpoint is one worker's entry in the list: what service discovery reported about it and what it
// answered.
type Endpoint struct {
	ID               balancer.WorkerID
	Addr             string
	Zone, Kind, Cell int
	State            balancer.EndpointState
	Weight           float64
	Start            time.Time // when the worker started; zero: unknown, long ago
	UpdatedAt        time.Time // when service discovery last reported a change of it
	VerifiedAt       time.Time // when the worker last answered this dispatcher
	RequestRate      float64   // requests per second that the worker answered for this dispatcher
}

// Update is a watch event of service discovery. A Full update is the complete list: an endpoint
// that is not in it has been removed. Otherwise it carries only the endpoints that changed.
type Update struct {
	Full      bool
	Epoch     string
	Cursor    int64
	Endpoints []Endpoint
}
