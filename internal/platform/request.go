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
	"oakthread/ingress"
)

const (
	maxRequestBytes  = 16 << 10
	maxClientTimeout = time.Hour
	minBodyBuffer    = 1 << 10 // size of the first buffer of a body that is longer, in bytes
	// responseTimeReserve is subtracted from a client's timeout for sending the response, but no
	// more than responseTimeReserveRatio of the timeout. On a busy CPU core each direction may take
	// tens of milliseconds.
	responseTimeReserve      = 200 * time.Millisecond
	responseTimeReserveRatio = 0.2

	// Higher values in X-Extras are rejected: no function has them.
	maxConcurrency = 1 << 10
	maxMemoryMB    = 1 << 24
	maxLoadTime    = time.Hour
)

// singleHeaders must not be repeated in a request, since it would be undefined which value applies.
var singleHeaders = [...]string{
	callIDHeader, classHeader, customerHeader, patienceHeader, extrasHeader, idempotencyKeyHeader, retryHeader,
}

// arrivalTime returns when the last bytes on a request's connection arrived. The request may have
// waited in the kernel because of the connection limit or because this process did not run. The
// part of a body that arrives later is not considered, so the deadline of such a request is a
// little early.
func arrivalTime(r *http.Request) time.Time {
	now := time.Now()
	conn := clientConnFrom(r.Context())
	if conn == nil {
		return now
	}
	arrived := now.Add(-lastDataAge(conn.Conn))
	// Later bytes may belong to a request behind this one.
	if readAt := conn.limiter.readAt(conn); !readAt.IsZero() && readAt.Before(arrived) {
		return readAt
	}
	return arrived
}

// readRequest reads a request that arrived at the given time. If it returns an error, status is the
// HTTP status of the response.
func (s *Server) readRequest(
	w http.ResponseWriter, r *http.Request, arrived time.Time,
) (request oakthread.Request, status int, err error) {
	request, err = s.parseHeader(r.PathValue("key"), r.Header, arrived)
	if err != nil {
		return request, http.StatusBadRequest, err
	}
	if r.ContentLength > maxRequestBytes {
		return request, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", maxRequestBytes)
	}
	request.Body, err = readRequestBody(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, http.StatusRequestEntityTooLarge, fmt.Errorf("body is over %d bytes", maxRequestBytes)
	}
	if refusalOf(err) == ingress.MemoryExhausted {
		return request, http.StatusServiceUnavailable, err
	}
	return request, http.StatusBadRequest, err
}

// bodyLength returns the length of a request's body, the greatest allowed one if it is not given or
// greater.
func bodyLength(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return maxRequestBytes
	}
	return min(r.ContentLength, maxRequestBytes)
}

// readRequestBody reads a body of the given length, unknownLength if it is not given. Its buffer
// grows with what has arrived, and not beyond the length.
func readRequestBody(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	var buffer []byte
	for int64(len(buffer)) < length {
		if len(buffer) == cap(buffer) {
			grown := make([]byte, len(buffer), min(max(2*int64(cap(buffer)), minBodyBuffer), length))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil && int64(len(buffer)) < length {
			return nil, err
		}
	}
	_, err := body.Read(make([]byte, 1)) // reaches the end, so that net/http watches for a disconnect
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return buffer, nil
}

// parseHeader parses a request without its body. key is the function in the path.
func (s *Server) parseHeader(
	key string, header http.Header, arrived time.Time,
) (request oakthread.Request, err error) {
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return request, fmt.Errorf("%s stands there %d times", name, len(header[name]))
		}
	}
	if err := parseIDs(&request, key, header); err != nil {
		return request, err
	}
	if err := s.parseClass(&request, header); err != nil {
		return request, err
	}
	timeout, err := parseTimeout(header)
	if err != nil {
		return request, err
	}
	// The client's timeout began when it wrote the last byte, and the response must have arrived
	// when it expires.
	reserve := min(responseTimeReserve, time.Duration(responseTimeReserveRatio*float64(timeout)))
	request.Deadline = arrived.Add(timeout - reserve)
	if err := parseExtras(&request, header); err != nil {
		return request, err
	}
	request.IdempotencyKey = header.Get(idempotencyKeyHeader)
	request.Retry = isRetry(header)
	return request, nil
}

// parseIDs parses the function and the id of a request.
func parseIDs(request *oakthread.Request, key string, header http.Header) error {
	function, err := parseHex16(key)
	if err != nil {
		return fmt.Errorf("function %q: want 16 hex digits", key)
	}
	request.Key, request.Func, request.ID = key, balancer.FuncID(function), header.Get(callIDHeader)
	if _, err := parseHex16(request.ID); err != nil {
		return fmt.Errorf("X-Call-Id %q: want 16 hex digits", request.ID)
	}
	return nil
}

// parseClass parses the class and the tenant of a request. Without a customer, the tenant is -1.
func (s *Server) parseClass(request *oakthread.Request, header http.Header) error {
	class, ok := s.classes.Table().Lookup(header.Get(classHeader))
	if !ok {
		return fmt.Errorf("X-Class %q: not in the settings", header.Get(classHeader))
	}
	request.Class, request.Tenant = class.Number, -1
	if customer := header.Get(customerHeader); customer != "" {
		if request.Tenant, ok = s.tenantNumbers[customer]; !ok {
			return fmt.Errorf("X-Customer %q: not in the settings", customer)
		}
	}
	return nil
}

// parseTimeout parses how long the client waits for its response.
func parseTimeout(header http.Header) (time.Duration, error) {
	millis, err := strconv.ParseFloat(header.Get(patienceHeader), 64)
	if err != nil || !(millis > 0) || millis > float64(maxClientTimeout/time.Millisecond) { // NaN is not above 0
		return 0, fmt.Errorf("X-Patience-Ms %q: want milliseconds above 0", header.Get(patienceHeader))
	}
	return time.Duration(millis * float64(time.Millisecond)), nil
}

// parseExtras parses the client's figures for the function: concurrency, memory and load time.
func parseExtras(request *oakthread.Request, header http.Header) error {
	extras, err := parseNumberPairs(header.Get(extrasHeader))
	if err != nil {
		return fmt.Errorf("X-Extras: %w", err)
	}
	concurrency, given := extras["lanes"]
	if given && concurrency < 1 || concurrency > maxConcurrency || extras["memory_mb"] > maxMemoryMB ||
		extras["load_ms"] > float64(maxLoadTime/time.Millisecond) {
		return fmt.Errorf("X-Extras %q: a figure is out of range", header.Get(extrasHeader))
	}
	request.MemoryMB, request.Concurrency = extras["memory_mb"], int(concurrency)
	request.LoadTime = time.Duration(extras["load_ms"] * float64(time.Millisecond))
	return nil
}

// isRetry reports whether the client marks the request as a retry.
func isRetry(header http.Header) bool {
	switch header.Get(retryHeader) {
	case "", "0", "false":
		return false
	}
	return true
}

// parseHex16 parses a number of exactly 16 hex digits.
func parseHex16(s string) (uint64, error) {
	if len(s) != 16 || strings.ContainsAny(s, "+-_") {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}
