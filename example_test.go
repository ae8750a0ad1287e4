package oakthread_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/middleware"
)

// localWorkers runs requests in this process; a real implementation sends them to workers on other
// machines.
type localWorkers struct{}

func (localWorkers) Send(_ context.Context, attempt oakthread.Attempt) oakthread.Reply {
	if !attempt.BeforeWrite() { // the caller has left in the meantime
		return oakthread.Reply{Result: balancer.NotSent}
	}
	body := strings.ToUpper(string(attempt.Request.Body))
	return oakthread.Reply{Result: balancer.OK, Warmth: balancer.WarmHit, Body: []byte(body)}
}

func (localWorkers) HealthCheck(context.Context, oakthread.Endpoint) oakthread.Reply {
	return oakthread.Reply{}
}

func (localWorkers) Load(context.Context, oakthread.LoadOrder) oakthread.Reply {
	return oakthread.Reply{}
}

func (localWorkers) Unload(context.Context, oakthread.LoadOrder) {}
func (localWorkers) CloseConnections(balancer.WorkerID)          {}

// readUpper converts an HTTP request for /upper to a Request. Other HTTP requests are passed to the
// next handler.
func readUpper(r *http.Request) (oakthread.Request, error) {
	if r.URL.Path != "/upper" {
		return oakthread.Request{}, middleware.ErrPass
	}
	body, err := io.ReadAll(r.Body)
	return oakthread.Request{
		ID:          "call-1",
		Tenant:      -1,
		Func:        7,
		Body:        body,
		Concurrency: 1,
		Deadline:    time.Now().Add(3 * time.Second),
	}, err
}

// A program dispatches calls received by its own HTTP server: the middleware handles the calls of a
// function and passes other HTTP requests to the next handler.
func Example() {
	core, err := oakthread.New(oakthread.Config{Workers: localWorkers{}, Settings: balancer.Settings{
		Classes: []balancer.Class{{
			LatencyObjective: int64(time.Second),
			ClientTimeout:    int64(3 * time.Second),
			PriorityWeight:   1,
			Idempotency:      balancer.Idempotent,
		}},
		MaxAttempts: 3,
		LoadsOnMiss: true,
		KeepAlive:   int64(10 * time.Second),
	}})
	if err != nil {
		panic(err)
	}
	defer core.Close()
	core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{
		{ID: 1, State: balancer.Active, Weight: 1},
	}})

	dispatch := middleware.Dispatch(core, readUpper)
	server := httptest.NewServer(dispatch(http.NotFoundHandler()))
	defer server.Close()
	for _, path := range []string{"/upper", "/other"} {
		resp, err := http.Post(server.URL+path, "text/plain", strings.NewReader("derby"))
		if err != nil {
			panic(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		fmt.Println(resp.StatusCode, strings.TrimSpace(string(body)))
	}
	// Output:
	// 200 DERBY
	// 404 404 page not found
}
