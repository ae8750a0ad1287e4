package platform

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"oakthread"
	"oakthread/balancer"
)

const (
	maxResponseBytes = 1 << 20
	// initialResponseBuffer limits the buffer with which a response starts. Growth of the buffer
	// counts against maxBufferedResponseBytes.
	initialResponseBuffer = 16 << 10
	// maxBufferedResponseBytes limits the growth of the buffers of all responses together.
	maxBufferedResponseBytes = 4 << 20
	// minBufferGrowth is the least number of bytes by which the buffer of a response grows.
	minBufferGrowth = 1 << 10
	// maxConcurrentRequests caps X-Same; higher values carry no further information.
	maxConcurrentRequests = 30
)

// executorResponse is a complete response of an executor.
type executorResponse struct {
	status int
	header http.Header
	body   []byte
}

// readResponse reads a response to its end and closes its body.
func (p *ExecutorPool) readResponse(response *http.Response) (executorResponse, error) {
	body, err := p.readBody(response)
	response.Body.Close()
	return executorResponse{status: response.StatusCode, header: response.Header, body: body}, err
}

// readBody reads the body of a response within the limits on memory. The length must be given by
// the head or by chunked encoding, or a truncated body would be taken for a complete one.
func (p *ExecutorPool) readBody(response *http.Response) ([]byte, error) {
	unbounded := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if response.StatusCode == http.StatusSwitchingProtocols || unbounded {
		return nil, errResponseUnbounded
	}
	if response.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	reserved := int64(0)
	defer func() { p.responseMemory.Add(reserved) }()
	body := make([]byte, 0, min(max(response.ContentLength, 0)+1, initialResponseBuffer))
	for {
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		growth := int64(max(cap(body), minBufferGrowth))
		reserved += growth
		if p.responseMemory.Add(-growth) < 0 || len(body) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
		body = append(make([]byte, 0, int64(cap(body))+growth), body...)
	}
}

// warmthByName maps the values of X-Tell, which says whether the function was loaded.
var warmthByName = map[string]balancer.Warmth{
	"hit": balancer.WarmHit, "spawn": balancer.BeganLoad,
	"pending": balancer.AwaitedLoad, "spawn_failed": balancer.LoadFailed,
}

// parseReply translates an executor's response. Only a 404, and a 503 or 504 with X-No-Effect,
// prove that the request did not run.
func (p *ExecutorPool) parseReply(response executorResponse) oakthread.Reply {
	header := response.header
	reply := oakthread.Reply{
		Result: balancer.Error,
		Warmth: warmthByName[header.Get(warmthHeader)],
		Report: p.parseReport(header.Get(loadReportHeader)),
	}
	reply.ConcurrentRequests = min(positiveInt(header.Get(concurrentHeader)), maxConcurrentRequests)
	reply.Copies = positiveInt(header.Get(copiesHeader))
	noEffect := header.Get(noEffectHeader) == "1"
	switch {
	case response.status == http.StatusOK:
		reply.Result, reply.Body = balancer.OK, response.body
	case response.status == http.StatusNotFound:
		reply.Result = balancer.NotLoaded
	case response.status == http.StatusServiceUnavailable && noEffect:
		reply.Result = balancer.QueueFull
	case response.status == http.StatusGatewayTimeout && noEffect:
		reply.Result = balancer.NotSent
	}
	return reply
}

// positiveInt parses a header's value. It returns 0 unless the value is a positive integer.
func positiveInt(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0
	}
	return max(n, 0)
}
