package main

import (
	"fmt"
	"sync"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["second-run"] = secondRun }

// secondRun starts a second run beside the running dispatcher with a webhook front, with the same
// addresses and another console, while clients call on new connections. Without trouble there is no
// second run.
func secondRun(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	tier, err := rig.NewTier(root, record, rig.Derby(), workers, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	node := tier.Nodes[0]
	if err := node.WriteWebhooks("ironbridge-haul"); err != nil {
		return nil, err
	}
	if _, err := tier.StartAll(); err != nil {
		return nil, err
	}
	if err := warmUp(tier, 5); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			group.Go(func() {
				answer := rig.SendNew(record, node.Addr, call("path-check", n%5, fmt.Sprint("check ", n)))
				if answer.Lost {
					mu.Lock()
					lost = append(lost, fmt.Sprintf("check %d was taken and got no answer: %v", n, answer.Err))
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(time.Second)
	if trouble {
		second, err := node.StartBeside("n0 second run", rig.FreeAddr())
		if err != nil {
			return nil, err
		}
		if second.WaitEnded(6 * time.Second) {
			status, _ := second.Ended()
			broken = append(broken, "the second run ended by itself within 6 s: "+status)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	return append(broken, lost...), nil
}
