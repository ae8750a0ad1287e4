package balancer_test

import (
	"fmt"

	"oakthread/balancer"
)

// printer is a Host that only prints the actions it is asked for. A real host sends requests and
// sets timers.
type printer struct{ worker balancer.WorkerID }

func (p *printer) SendAttempt(id string, w balancer.WorkerID, until int64) {
	p.worker = w
	fmt.Println("send", id)
}
func (p *printer) CancelAttempt(id string, attempt int)              {}
func (p *printer) Reject(id string, wait int64)                      { fmt.Println("reject", id) }
func (p *printer) Fail(id string)                                    { fmt.Println("fail", id) }
func (p *printer) OrderLoad(balancer.WorkerID, balancer.FuncID, int) {}
func (p *printer) OrderUnload(balancer.WorkerID, balancer.FuncID)    {}
func (p *printer) HealthCheck(balancer.WorkerID)                     {}
func (p *printer) SendPeerMessage(int, string)                       {}
func (p *printer) CountTowardLoadQuota(at int64)                     {}
func (p *printer) SetTimer(delay, ref int64)                         {}
func (p *printer) SubscribeEndpoints()                               {}
func (p *printer) Log(string)                                        {}

func Example() {
	const second = int64(1e9)
	host := &printer{}
	d, err := balancer.New(0, balancer.Settings{
		Classes: []balancer.Class{{
			LatencyObjective: second, ClientTimeout: 3 * second, PriorityWeight: 1,
			Idempotency: balancer.Idempotent,
		}},
		MaxAttempts: 3, KeepAlive: 10 * second, LoadsOnMiss: true,
	}, 42, host)
	if err != nil {
		panic(err)
	}
	d.UpdateEndpoints(0, balancer.EndpointsSnapshot,
		[]balancer.Endpoint{{Worker: 1, State: balancer.Active}, {Worker: 2, State: balancer.Active}})
	d.HandleRequest(0, balancer.Request{ID: "call", Func: 7, Deadline: 3 * second, Concurrency: 1})
	first := host.worker
	d.HandleAttemptResult(second/10, balancer.AttemptResult{ID: "call", Worker: first, Result: balancer.ConnectFailed})
	fmt.Println("another worker:", host.worker != first)
	d.HandleAttemptResult(second/5, balancer.AttemptResult{
		ID: "call", Attempt: 1, Worker: host.worker,
		Result: balancer.OK, Finished: true,
	})
	// Output:
	// send call
	// send call
	// another worker: true
}
