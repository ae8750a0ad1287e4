package ingress

import "time"

// FreeBytes is the number of bytes that a request may hold without being counted. Most requests are
// smaller.
const FreeBytes = 1 << 10

// Memory counts the bytes that the requests of all clients hold, from the time they are read until
// they are answered.
type Memory struct {
	limit int64
	held  int64
}

// NewMemory returns a Memory that lets requests hold limit bytes together.
func NewMemory(limit int64) Memory { return Memory{limit: limit} }

// Held returns the number of bytes counted.
func (m *Memory) Held() int64 { return m.held }

// Holding is what the requests of one connection hold.
type Holding struct {
	bytes   int64
	counted int64     // the part of bytes that counts toward the limit
	Began   time.Time // when the unfinished request began to arrive; zero: no request is unfinished
}

// Bytes returns the number of bytes that the requests of the connection hold.
func (h *Holding) Bytes() int64 { return h.bytes }

// Set records that the requests of a connection hold a number of bytes. It returns false if that is
// more than before and all requests together exceed the limit. The caller then refuses unfinished
// requests, those that SlowerThan puts first, until Fits reports true.
func (m *Memory) Set(holding *Holding, bytes int64) (fits bool) {
	counted := max(bytes-FreeBytes, 0)
	grown := counted - holding.counted
	m.held += grown
	holding.bytes, holding.counted = bytes, counted
	return grown <= 0 || m.held <= m.limit
}

// Fits reports whether all requests together hold no more than the limit.
func (m *Memory) Fits() bool { return m.held <= m.limit }

// IsEvictable reports whether refusing the unfinished request of a connection frees memory.
func (h *Holding) IsEvictable() bool { return !h.Began.IsZero() && h.counted > 0 }

// SlowerThan reports whether the unfinished request of a connection is refused before that of
// another one: it has been arriving for longer. Clients usually send a request in one
// write.
func (h *Holding) SlowerThan(other *Holding) bool { return h.Began.Before(other.Began) }
