package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"oakthread/review/second/rig"
)

const (
	workers     = 10
	dispatchers = 3
	// settled is how long after SIGHUP the new classes bind at the latest, by the operators' page.
	settled = 1200 * time.Millisecond
	// firstSecond is the time after a start in which no SIGHUP comes, with some room.
	firstSecond = 1500 * time.Millisecond
)

var errWarmUp = errors.New("a call of the warm-up was not served")

// function returns the name of function number n.
func function(n int) string { return fmt.Sprintf("7f3a9c21e0b4%04x", n) }

// call returns a call of function number n without a customer.
func call(class string, n int, body string) rig.Call {
	return rig.Call{Class: class, Function: function(n), Body: fmt.Sprint(body, " ", n), Patience: 4 * time.Second}
}

// withPatience returns a call with another patience.
func withPatience(call rig.Call, patience time.Duration) rig.Call {
	call.Patience = patience
	return call
}

// countApplied returns how often each body ran without being dropped as a repeat.
func countApplied(runs []rig.Run) map[string]int {
	applied := map[string]int{}
	for _, run := range runs {
		if !run.Dropped {
			applied[run.Body]++
		}
	}
	return applied
}

// firstRuns returns a function that reports for each run of a class whether it is the first with
// its body.
func firstRuns(class string) func(run rig.Run) bool {
	var mu sync.Mutex
	seen := map[string]bool{}
	return func(run rig.Run) bool {
		mu.Lock()
		defer mu.Unlock()
		first := run.Class == class && !seen[run.Body]
		seen[run.Body] = seen[run.Body] || first
		return first
	}
}

// resetFirst resets the connection of the first run of each call of a class.
func resetFirst(class string) func(run rig.Run) rig.Fault {
	first := firstRuns(class)
	return func(run rig.Run) rig.Fault {
		if first(run) {
			return rig.ResetRun
		}
		return rig.NoFault
	}
}

// warmUp has dispatcher 0 serve calls of count functions, of the first class of the site, so that
// copies are loaded.
func warmUp(tier *rig.Tier, count int) error {
	class := tier.Site.Classes[0]
	var group sync.WaitGroup
	statuses := make([]int, count)
	for n := range count {
		group.Go(func() {
			warm := withPatience(call(class.Name, n, "warm"), time.Duration(class.GiveUp))
			statuses[n] = rig.SendNew(tier.Record, tier.Nodes[0].Addr, warm).Status
		})
	}
	group.Wait()
	for _, status := range statuses {
		if status != 200 {
			return errWarmUp
		}
	}
	return nil
}

// message sends a signed webhook message that asks for a call of function number n.
func message(tier *rig.Tier, class string, n int) {
	id := fmt.Sprint(class, "-", n)
	body := fmt.Sprint("message ", n)
	tier.Record.Logf("sender: sends message %s body=%q", id, body)
	status, _, err := rig.SendMessage(tier.Nodes[0].Webhooks, id, class, function(n), body)
	tier.Record.Logf("sender: message %s answered: status=%d error=%v", id, status, err)
}

// withClass returns a site with one more class, which has the rules of the first.
func withClass(site rig.Site, name string) rig.Site {
	added := site.Classes[0]
	added.Name = name
	site.Classes = append(site.Classes[:len(site.Classes):len(site.Classes)], added)
	return site
}
