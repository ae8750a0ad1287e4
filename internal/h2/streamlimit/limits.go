package streamlimit

import "time"

// Limits are the limits of a Table. Zero values take the defaults.
type Limits struct {
	StreamsPerConn  int           // concurrent streams of one connection; 0: 250
	TotalStreams    int           // concurrent streams of all connections; 0: 4096
	BufferedPerConn int64         // bytes of responses that wait for one client to read; 0: 1 MiB
	TotalBuffered   int64         // bytes of responses that wait for all clients; 0: 16 MiB
	ResetRate       float64       // resets per second of one connection; 0: 50
	ResetBurst      float64       // resets at once; 0: 200
	OrphansPerConn  int           // requests of one connection that run on for streams that were reset; 0: 32
	ControlRate     float64       // SETTINGS, PING, PRIORITY and empty frames per second; 0: 20
	ControlBurst    float64       // such frames at once; 0: 100
	StallTimeout    time.Duration // for which a client may read nothing while a response waits; 0: 5 s
	IdleTimeout     time.Duration // of a connection without a stream; 0: 60 s
	MaxAge          time.Duration // of a connection, after which the client is asked to reconnect; 0: 1 h
}

// withDefaults returns the limits with defaults for those that are not set.
func (l Limits) withDefaults() Limits {
	setDefault(&l.StreamsPerConn, 250)
	setDefault(&l.TotalStreams, 4096)
	setDefault(&l.OrphansPerConn, 32)
	setDefault(&l.ResetRate, 50)
	setDefault(&l.ResetBurst, 200)
	setDefault(&l.ControlRate, 20)
	setDefault(&l.ControlBurst, 100)
	setDefault(&l.StallTimeout, 5*time.Second)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.MaxAge, time.Hour)
	setDefault(&l.BufferedPerConn, 1<<20)
	setDefault(&l.TotalBuffered, 16<<20)
	return l
}

// setDefault sets a limit that is not above 0.
func setDefault[T int | int64 | float64 | time.Duration](limit *T, value T) {
	if *limit <= 0 {
		*limit = value
	}
}
