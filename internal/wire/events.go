package wire

import "encoding/json"

// Clock sets the simulated time of the events that follow.
type Clock struct {
	Now *int64 `json:"sim_time_ns"`
}

// Boot starts an instance with the settings of a deployment.
type Boot struct {
	Who   string          `json:"who"`
	Seed  uint64          `json:"prng"`
	Setup json.RawMessage `json:"setup"`
}

// Entry is one worker of an endpoint list.
type Entry struct {
	Runner    *uint32 `json:"runner"`
	Hall      int     `json:"hall"`
	HW        int     `json:"hw"`
	Block     int     `json:"block"`
	Readiness string  `json:"readiness"`
	Nominal   float64 `json:"nominal"`
	UpSince   int64   `json:"up_since_ns"`
}

// DefineList defines an endpoint list that a Sync refers to by its Bank.
type DefineList struct {
	Bank    int     `json:"bank"`
	Entries []Entry `json:"entries"`
}

// Sync updates the endpoints of an instance.
type Sync struct {
	Who  string `json:"who"`
	Kind string `json:"kind"`
	Seq  int64  `json:"seq_no"`
	Bank int    `json:"bank"`
}

// Demand is a client's request.
type Demand struct {
	Who        string  `json:"who"`
	ID         string  `json:"xid"`
	Kind       int     `json:"kind"`
	Group      int     `json:"user_group"`
	Fn         string  `json:"target_fn"`
	ValidUntil int64   `json:"valid_until_ns"`
	MemoryMB   float64 `json:"memory_mb"`
	Lanes      float64 `json:"lanes"`
	LoadMS     float64 `json:"load_ms"`
	Repeat     bool    `json:"repeat"`
}

// Bell reports the expiry of an instance's timer.
type Bell struct {
	Who string `json:"who"`
	Ref int64  `json:"ref"`
}

// FirstByte reports the first byte of an attempt's response.
type FirstByte struct {
	Who    string `json:"who"`
	ID     string `json:"xid"`
	Runner uint32 `json:"runner"`
	Trial  int    `json:"trial"`
}

// AttemptEnd is the result of an attempt.
type AttemptEnd struct {
	Who      string    `json:"who"`
	ID       string    `json:"xid"`
	Finished bool      `json:"finished"`
	Info     int       `json:"info"`
	RTT      int64     `json:"rtt_ns"`
	Trial    int       `json:"trial"`
	Runner   uint32    `json:"runner"`
	How      string    `json:"how"`
	Load     []float64 `json:"load"`
}

// Pong is the result of a health check.
type Pong struct {
	Who    string    `json:"who"`
	Runner uint32    `json:"runner"`
	How    string    `json:"how"`
	RTT    int64     `json:"rtt_ns"`
	Load   []float64 `json:"load"`
}

// Killed reports that an instance has been terminated.
type Killed struct {
	Who string `json:"who"`
}

// NoteFrom is a message from a peer.
type NoteFrom struct {
	Who    string `json:"who"`
	Sender int    `json:"sender"`
	Data   string `json:"data"`
}

// Warmed is the result of a load order.
type Warmed struct {
	Who     string `json:"who"`
	HowMany int    `json:"how_many"`
	Fn      string `json:"target_fn"`
	Runner  uint32 `json:"runner"`
	How     string `json:"how"`
	RTT     int64  `json:"rtt_ns"`
}

// Vanished reports that the client of a request has disconnected.
type Vanished struct {
	Who string `json:"who"`
	ID  string `json:"xid"`
}

// OverToYou ends a turn of events: the simulator now expects the reply.
type OverToYou struct{}

// Unknown is an event whose name is not known.
type Unknown struct{ Name string }
