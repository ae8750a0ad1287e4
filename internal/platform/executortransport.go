package platform

import (
	"context"
	"net/http"
	"time"

	"oakthread"
)

// executorTransports is the connections to one executor: lanes, in the order in which they are preferred. Guarded by the Fleet's mu.
type executorTransports struct {
	endpoint   oakthread.Endpoint
	lastUsed   time.Time
	transports []*pooledTransport
	// queued is how many requests wait for one of them to settle.
	queued int
}

// pooledTransport is a Transport and when an answer last ended on it. A Transport hands the connection used last to the next request;
// a late second answer on it would be read as the answer to that.
type pooledTransport struct {
	*http.Transport
	lastResponse time.Time
}

func (l *executorTransports) closeIdle() {
	for _, x := range l.transports {
		x.CloseIdleConnections()
	}
}

// transportsFor is the line of an executor, made where there is none; the caller holds mu. One made late, for an executor already
// forgotten, is nobody's to drop: those unused for long go when the next is made.
func (f *ExecutorPool) transportsFor(m oakthread.Endpoint) *executorTransports {
	l := f.executors[m.ID]
	if l == nil || l.endpoint.Addr != m.Addr || !l.endpoint.Start.Equal(m.Start) {
		if l != nil {
			l.closeIdle()
		}
		l = &executorTransports{endpoint: m}
		f.executors[m.ID] = l
		for id, x := range f.executors {
			if x != l && time.Since(x.lastUsed) > unusedTransportsTTL {
				delete(f.executors, id)
				x.closeIdle()
			}
		}
	}
	l.lastUsed = time.Now()
	return l
}

// acquireTransport is the first lane of an executor that has settled. Where none has, a few requests wait for that, and others meanwhile
// get a lane of their own: a wait of some milliseconds is cheaper than a handshake.
func (f *ExecutorPool) acquireTransport(ctx context.Context, m oakthread.Endpoint) (*executorTransports, *pooledTransport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.transportsFor(m)
	var oldest *pooledTransport
	for _, x := range l.transports {
		if l.lastUsed.Sub(x.lastResponse) >= f.reuseDelay {
			return l, x
		}
		if oldest == nil || x.lastResponse.Before(oldest.lastResponse) {
			oldest = x
		}
	}
	switch {
	case oldest != nil && l.queued < maxQueuedRequests:
		l.queued++
		t := time.NewTimer(f.reuseDelay - l.lastUsed.Sub(oldest.lastResponse))
		f.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		f.mu.Lock()
		l.queued--
		return l, oldest
	case len(l.transports) == maxTransportsPerExecutor:
		return l, oldest // its connection waits for the rest
	}
	x := &pooledTransport{Transport: &http.Transport{
		Proxy: nil, DisableCompression: true, DialContext: f.dial, MaxIdleConnsPerHost: maxIdlePerTransport,
		IdleConnTimeout: f.idleTimeout, MaxResponseHeaderBytes: 16 << 10, ForceAttemptHTTP2: false, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
	}}
	l.transports = append(l.transports, x)
	return l, x
}
