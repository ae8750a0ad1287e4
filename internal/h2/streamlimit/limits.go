package streamlimit

import "time"

// Limits are the limits of a Table. A field that is not above 0 takes its default.
type Limits struct {
	StreamsPerConn  int           // concurrent streams of one connection; 0: 250
	TotalStreams    int           // concurrent streams of all connections; 0: 4096
	BufferedPerConn int64         // response bytes buffered for one client; 0: 1 MiB
	TotalBuffered   int64         // response bytes buffered for all clients; 0: 16 MiB
	ResetRate       float64       // resets per second of one connection; 0: 50
	ResetBurst      float64       // burst of resets; 0: 200
	OrphansPerConn  int           // running requests of one connection whose streams were reset; 0: 32
	ControlRate     float64       // SETTINGS, PING, PRIORITY and empty frames per second; 0: 20
	ControlBurst    float64       // burst of such frames; 0: 100
	StallTimeout    time.Duration // time in which a client must read buffered bytes; 0: 5 s
	IdleTimeout     time.Duration // of a connection without a stream; 0: 60 s
	MaxAge          time.Duration // age at which a connection is ended with GOAWAY; 0: 1 h
}

// withDefaults returns the limits with the defaults filled in.
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

// setDefault sets a limit that is not above 0 to value.
func setDefault[T int | int64 | float64 | time.Duration](limit *T, value T) {
	if *limit <= 0 {
		*limit = value
	}
}
