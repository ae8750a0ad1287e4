package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["drained-stream"] = drainedStream }

// drainedStream adds a class with a longer deadline by SIGHUP, then sends one call of it by HTTP/2
// and one by the platform's port, and SIGTERM while both run. Without trouble the class is in the
// file from the start, and nothing is reloaded; SIGTERM comes all the same.
func drainedStream(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const plan = "path-plan"
	start := shortDay()
	after := withClass(start, plan)
	added := &after.Classes[len(after.Classes)-1]
	added.Aim, added.GiveUp = int64(2500*time.Millisecond), int64(3*time.Second)
	if !trouble {
		start = after
	}
	tier, err := rig.NewTier(root, record, start, workers, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	tier.Fleet.Work, tier.Fleet.Load = 20*time.Millisecond, 240*time.Millisecond
	tier.Fleet.ClassWork = map[string]time.Duration{plan: 2600 * time.Millisecond}
	node := tier.Nodes[0]
	if err := node.WriteHTTP2(); err != nil {
		return nil, err
	}
	processes, err := tier.StartAll()
	if err != nil {
		return nil, err
	}
	if err := warmUp(tier, 2); err != nil {
		return nil, err
	}
	time.Sleep(firstSecond)
	if trouble {
		if err := node.WriteConfig(after); err != nil {
			return nil, err
		}
		processes[0].Signal(syscall.SIGHUP)
	}
	time.Sleep(2 * settled)
	var group sync.WaitGroup
	answers := make([]rig.Answer, 2)
	for n, send := range []func() rig.Answer{
		func() rig.Answer {
			return rig.SendHTTP2(record, node.HTTP2, withPatience(call(plan, 0, "by HTTP/2"), 3*time.Second))
		},
		func() rig.Answer {
			return rig.SendNew(record, node.Addr, withPatience(call(plan, 1, "by HTTP/1.1"), 3*time.Second))
		},
	} {
		group.Go(func() { answers[n] = send() })
	}
	time.Sleep(100 * time.Millisecond)
	processes[0].Signal(syscall.SIGTERM)
	group.Wait()
	for n, front := range []string{"HTTP/2", "HTTP/1.1"} {
		if answers[n].Lost {
			broken = append(broken, fmt.Sprintf("%s: the call, taken 0.1 s before SIGTERM, got no answer: %v",
				front, answers[n].Err))
		}
	}
	return broken, nil
}

// shortDay returns the site with work, aims and deadlines of a fifth.
func shortDay() rig.Site {
	site := rig.Derby()
	for i := range site.Classes {
		site.Classes[i].Aim /= 5
		site.Classes[i].GiveUp /= 5
	}
	return site
}
