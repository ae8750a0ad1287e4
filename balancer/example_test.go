package balancer_test

import (
	"fmt"

	"oakthread/balancer"
)

// printer is a host that prints what it is told to do; a real one sends requests and sets timers.
type printer struct{ worker balancer.WorkerID }

func (p *printer) Send(id string, w balancer.WorkerID, until int64) {
	p.worker = w
	fmt.Println("send", id)
}
func (p *printer) Cancel(id string, attempt int)                {}
func (p *printer) Refuse(id string, wait int64)                 { fmt.Println("refuse", id) }
func (p *printer) Fail(id string)                               { fmt.Println("fail", id) }
func (p *printer) Load(balancer.WorkerID, balancer.FuncID, int) {}
func (p *printer) Drop(balancer.WorkerID, balancer.FuncID)      {}
func (p *printer) Probe(balancer.WorkerID)                      {}
func (p *printer) Tell(int, string)                             {}
func (p *printer) Counted(at int64)                             {}
func (p *printer) Timer(delay, ref int64)                       {}
func (p *printer) Watch()                                       {}
func (p *printer) Log(string)                                   {}

func Example() {
	const second = int64(1e9)
	host := &printer{}
	d, err := balancer.New(0, balancer.Settings{
		Classes:     []balancer.Class{{Aim: second, GiveUp: 3 * second, Worth: 1, Effect: balancer.Safe}},
		MaxAttempts: 3, KeepAlive: 10 * second, LoadsOnMiss: true,
	}, 42, host)
	if err != nil {
		panic(err)
	}
	d.Roster(0, balancer.RosterFull, []balancer.Entry{{Worker: 1, State: balancer.On}, {Worker: 2, State: balancer.On}})
	d.Request(0, balancer.Request{ID: "call", Func: 7, Deadline: 3 * second, Lanes: 1})
	first := host.worker
	d.Outcome(second/10, balancer.Outcome{ID: "call", Worker: first, Result: balancer.ConnectFailed})
	fmt.Println("another worker:", host.worker != first)
	d.Outcome(second/5, balancer.Outcome{ID: "call", Attempt: 1, Worker: host.worker, Result: balancer.OK, Finished: true})
	// Output:
	// send call
	// send call
	// another worker: true
}
