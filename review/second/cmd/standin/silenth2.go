package main

import (
	"fmt"
	"sync"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["silent-h2"] = silentHTTP2 }

// silentHTTP2 has clients call by HTTP/2, and by the platform's port, while others hold connections
// to the HTTP/2 port and say nothing. Without trouble there are no silent ones.
func silentHTTP2(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const (
		silent = 250
		calls  = 40
	)
	tier, err := rig.NewTier(root, record, rig.Derby(), workers, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	node := tier.Nodes[0]
	if err := node.WriteHTTP2(); err != nil {
		return nil, err
	}
	if _, err := tier.StartAll(); err != nil {
		return nil, err
	}
	if err := warmUp(tier, 5); err != nil {
		return nil, err
	}
	if trouble {
		defer rig.SilentClients(record, node.HTTP2, silent)()
		time.Sleep(time.Second)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for n := range calls {
		for front, send := range map[string]func(call rig.Call) rig.Answer{
			"HTTP/2":   func(call rig.Call) rig.Answer { return rig.SendHTTP2(record, node.HTTP2, call) },
			"HTTP/1.1": func(call rig.Call) rig.Answer { return rig.SendNew(record, node.Addr, call) },
		} {
			group.Go(func() {
				if answer := send(call("path-check", n%5, "check")); answer.Lost {
					mu.Lock()
					defer mu.Unlock()
					broken = append(broken, fmt.Sprintf("%s: %s was taken and got no answer in time", front, answer.ID))
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	return broken, nil
}
