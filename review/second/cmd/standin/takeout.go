package main

import (
	"fmt"
	"sync"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["take-out"] = takeOut }

// takeOut takes four executors out, one after the other, while a second run stands beside the first
// with the same addresses and another console, by the two consoles in turn. Without trouble there is
// no second run, and one console.
func takeOut(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const grace = 2*time.Second + 50*time.Millisecond // a second for the yes to count, the grace, the slack
	tier, err := rig.NewTier(root, record, rig.Derby(), workers, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	node := tier.Nodes[0]
	if _, err := tier.StartAll(); err != nil {
		return nil, err
	}
	if err := warmUp(tier, 20); err != nil {
		return nil, err
	}
	consoles := []string{node.Console, node.Console}
	if trouble {
		consoles[1] = rig.FreeAddr()
		if _, err := node.StartBeside("n0 second run", consoles[1]); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	out := map[string]time.Time{}
	for i, worker := range tier.Fleet.Workers[:4] {
		if err := tier.Operate(consoles[i%2], "executors/"+worker.ID+"/offline"); err != nil {
			return nil, err
		}
		out[worker.ID] = time.Now()
	}
	var group sync.WaitGroup
	for n := range 300 {
		time.Sleep(20 * time.Millisecond)
		group.Go(func() {
			rig.SendNew(record, node.Addr, call("path-check", n%20, fmt.Sprint("check ", n)))
		})
	}
	group.Wait()
	after := map[string]int{}
	for _, run := range tier.Fleet.Runs() {
		if at, isOut := out[run.Worker]; isOut && run.Came.Sub(at) > grace {
			after[run.Worker]++
		}
	}
	for id, count := range after {
		broken = append(broken, fmt.Sprintf("%s was taken out with a yes and got %d calls after the grace", id, count))
	}
	return broken, nil
}
