package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oakthread"
	"oakthread/balancer"
)

// arrivalTime is when the last bytes of a request came that there are by now: it may have waited with the kernel, for a place or
// for this process. A body that is still to come makes it no later: its client's time then ends a little early.
func arrivalTime(r *http.Request) time.Time {
	now := time.Now()
	if c := clientConnFrom(r.Context()); c != nil {
		return now.Add(-lastDataAge(c.Conn))
	}
	return now
}

// readRequest decodes a call into the Core's value, once.
func (f *Server) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (q oakthread.Request, status int, err error) {
	q, err = f.parseHeader(r.PathValue("key"), r.Header, now)
	if err != nil {
		return q, http.StatusBadRequest, err
	}
	if r.ContentLength > maxRequestBytes {
		return q, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", maxRequestBytes)
	}
	q.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return q, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", maxRequestBytes)
	}
	return q, http.StatusBadRequest, err
}

func (f *Server) parseHeader(key string, h http.Header, now time.Time) (q oakthread.Request, err error) {
	for _, name := range [...]string{"X-Call-Id", "X-Class", "X-Customer", "X-Patience-Ms", "X-Extras", idempotencyKeyHeader, retryHeader} {
		if len(h[name]) > 1 { // which of them counts is anyone's guess
			return q, fmt.Errorf("%s stands there %d times", name, len(h[name]))
		}
	}
	n, err := parseHex16(key)
	if err != nil {
		return q, fmt.Errorf("function %q: want 16 hex digits", key)
	}
	q.Key, q.Func, q.ID, q.Tenant = key, balancer.FuncID(n), h.Get("X-Call-Id"), -1
	if _, err = parseHex16(q.ID); err != nil {
		return q, fmt.Errorf("X-Call-Id %q: want 16 hex digits", q.ID)
	}
	class, ok := (*f.classNumbers.Load())[h.Get("X-Class")]
	if !ok {
		return q, fmt.Errorf("X-Class %q: not in the settings", h.Get("X-Class"))
	}
	q.Class = class
	if name := h.Get("X-Customer"); name != "" {
		if q.Tenant, ok = f.tenantNumbers[name]; !ok {
			return q, fmt.Errorf("X-Customer %q: not in the settings", name)
		}
	}
	ms, err := strconv.ParseFloat(h.Get("X-Patience-Ms"), 64)
	if err != nil || !(ms > 0) || ms > float64(maxClientTimeout/time.Millisecond) {
		return q, fmt.Errorf("X-Patience-Ms %q: want milliseconds above 0", h.Get("X-Patience-Ms"))
	}
	// The clock ran from when the client wrote its last byte, and the answer must have come whole when it ends. On a
	// crowded core either way may take tens of milliseconds.
	patience := time.Duration(ms * float64(time.Millisecond))
	q.Deadline = now.Add(patience - min(responseTimeReserve, time.Duration(responseTimeReserveRatio*float64(patience))))
	extras, err := parseFigures(h.Get("X-Extras"))
	if err != nil {
		return q, fmt.Errorf("X-Extras: %w", err)
	}
	lanes, told := extras["lanes"]
	if told && lanes < 1 || lanes > maxConcurrency || extras["memory_mb"] > maxMemoryMB ||
		extras["load_ms"] > float64(maxLoadTime/time.Millisecond) {
		return q, fmt.Errorf("X-Extras %q: a figure is out of range", h.Get("X-Extras"))
	}
	q.IdempotencyKey = h.Get(idempotencyKeyHeader)
	switch h.Get(retryHeader) {
	case "", "0", "false":
	default:
		q.Retry = true
	}
	q.MemoryMB, q.Concurrency = extras["memory_mb"], int(lanes)
	q.LoadTime = time.Duration(extras["load_ms"] * float64(time.Millisecond))
	return q, nil
}

func parseHex16(s string) (uint64, error) {
	if len(s) != 16 || strings.ContainsAny(s, "+-_") {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}
