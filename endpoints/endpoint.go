package endpoints

import (
	"time"

	"oakthread/balancer"
)

// Endpoint is an entry of the list: what was told of it, and what it proved.
type Endpoint struct {
	ID               balancer.WorkerID
	Addr             string
	Zone, Kind, Cell int
	State            balancer.EndpointState
	Weight           float64
	Start            time.Time // zero: long ago
	UpdatedAt        time.Time // when discovery last told of a change
	VerifiedAt       time.Time // when it last answered us
	RequestRate      float64   // calls a second that it answered us
}

// Snapshot is a list as it was written to disk.
type Snapshot struct {
	Epoch     string
	Cursor    int64
	Confirmed time.Time // discovery last said then that the list is current
	Saved     time.Time
	Endpoints []Endpoint
	History   History
}

// Update is news of discovery. Full: all of the list; a box not in it is gone.
type Update struct {
	Full      bool
	Epoch     string
	Cursor    int64
	Endpoints []Endpoint
}
