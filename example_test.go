package oakthread_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"oakthread"
	"oakthread/balancer"
	"oakthread/middleware"
	"strings"
	"time"
)

// local runs calls in this process; a real one carries them to workers on other machines.
type local struct{}

func (local) Send(_ context.Context, a oakthread.Attempt) oakthread.Reply {
	if !a.BeforeWrite() { // its caller has left meanwhile
		return oakthread.Reply{Result: balancer.NotSent}
	}
	return oakthread.Reply{Result: balancer.OK, Warmth: balancer.WarmHit, Body: []byte(strings.ToUpper(string(a.Request.Body)))}
}

func (local) HealthCheck(context.Context, oakthread.Endpoint) oakthread.Reply {
	return oakthread.Reply{}
}
func (local) Load(context.Context, oakthread.LoadOrder) oakthread.Reply { return oakthread.Reply{} }
func (local) Unload(context.Context, oakthread.LoadOrder)               {}
func (local) CloseConnections(balancer.WorkerID)                        {}

// A program dispatches calls behind its own server: the middleware takes the calls, other requests pass on.
func Example() {
	core, err := oakthread.New(oakthread.Config{Workers: local{}, Settings: balancer.Settings{
		Classes:     []balancer.Class{{LatencyObjective: int64(time.Second), ClientTimeout: int64(3 * time.Second), PriorityWeight: 1, Idempotency: balancer.Idempotent}},
		MaxAttempts: 3, LoadsOnMiss: true, KeepAlive: int64(10 * time.Second),
	}})
	if err != nil {
		panic(err)
	}
	defer core.Close()
	core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{ID: 1, State: balancer.Active, Weight: 1}}})

	calls := middleware.Dispatch(core, func(r *http.Request) (oakthread.Request, error) {
		if r.URL.Path != "/upper" {
			return oakthread.Request{}, middleware.ErrPass
		}
		body, err := io.ReadAll(r.Body)
		return oakthread.Request{ID: "call-1", Tenant: -1, Func: 7, Body: body, Concurrency: 1, Deadline: time.Now().Add(3 * time.Second)}, err
	})
	server := httptest.NewServer(calls(http.NotFoundHandler()))
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
