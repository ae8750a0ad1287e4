package endpoints

import (
	"time"

	"oakthread/balancer"
)

// Endpoint is one worker's entry in the list: the fields reported by service discovery and the
// record of the worker's own answers.
type Endpoint struct {
	ID               balancer.WorkerID
	Addr             string
	Zone, Kind, Cell int
	State            balancer.EndpointState
	Weight           float64
	Start            time.Time // when the worker started; zero: unknown, taken as long ago
	UpdatedAt        time.Time // when service discovery last reported the endpoint
	VerifiedAt       time.Time // when the worker last answered this dispatcher
	RequestRate      float64   // requests per second answered for this dispatcher, as of the snapshot
}

// Update is a watch event of service discovery. A Full update is the complete list: an endpoint
// that is not in it has been removed. Otherwise it contains only the endpoints that changed.
type Update struct {
	Full      bool
	Epoch     string
	Cursor    int64
	Endpoints []Endpoint
}
