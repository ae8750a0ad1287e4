package main

import (
	"fmt"
	"syscall"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["reload-class"] = reloadClass }

// reloadClass changes route-price from read_like to non_idempotent by SIGHUP, then asks for it by
// the platform's port and by signed webhooks. The connection of each call is reset under it after
// it has run. Without trouble the class is non_idempotent from the start, and nothing is reloaded.
func reloadClass(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const calls = 5
	start, after := rig.Derby(), rig.Derby()
	after.Classes[1].Idempotency = "non_idempotent"
	if !trouble {
		start = after
	}
	tier, err := rig.NewTier(root, record, start, workers, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	node := tier.Nodes[0]
	if err := node.WriteWebhooks("ironbridge-haul"); err != nil {
		return nil, err
	}
	processes, err := tier.StartAll()
	if err != nil {
		return nil, err
	}
	if err := warmUp(tier, calls); err != nil {
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
	tier.Fleet.SetFault(resetFirst("route-price"))
	for n := range calls {
		rig.SendNew(record, node.Addr, call("route-price", n, "platform"))
		message(tier, "route-price", n)
	}
	time.Sleep(time.Second)
	for body, count := range countApplied(tier.Fleet.Runs()) {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("%q of a non_idempotent class ran %d times", body, count))
		}
	}
	return broken, nil
}
