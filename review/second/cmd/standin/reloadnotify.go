package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["reload-notify"] = reloadNotify }

// reloadNotify adds a class by SIGHUP while the webhook front notifies of path-book, then has an
// operator's client call the new class while bookings are in flight. Without trouble nothing is
// reloaded and the client calls path-check.
func reloadNotify(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const calls = 8
	tier, err := rig.NewTier(root, record, rig.Derby(), workers, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	receiver, err := rig.NewNoticeReceiver(record)
	if err != nil {
		return nil, err
	}
	defer receiver.Close()
	node, class := tier.Nodes[0], "path-check"
	if err := node.WriteWebhooks("notify = ['path-book']", "ironbridge-haul", receiver.URL); err != nil {
		return nil, err
	}
	processes, err := tier.StartAll()
	if err != nil {
		return nil, err
	}
	if err := warmUp(tier, "path-check", calls); err != nil {
		return nil, err
	}
	if trouble {
		class = "path-quote"
		if err := node.WriteConfig(withClass(rig.Derby(), class)); err != nil {
			return nil, err
		}
		processes[0].Signal(syscall.SIGHUP)
	}
	time.Sleep(2 * settled)
	broken = callDuringBookings(tier, class, calls)
	time.Sleep(500 * time.Millisecond)
	if status, ended := processes[0].Ended(); ended {
		broken = append(broken, "the dispatcher ended by itself: "+status)
	}
	return broken, nil
}

// withClass returns a site with one more class, which has the rules of the first.
func withClass(site rig.Site, name string) rig.Site {
	added := site.Classes[0]
	added.Name = name
	site.Classes = append(site.Classes, added)
	return site
}

// callDuringBookings sends bookings of functions that are not loaded yet and, while they are in
// flight, one call of class for an operator. It returns the calls that were taken and got no answer.
func callDuringBookings(tier *rig.Tier, class string, bookings int) (unanswered []string) {
	var group sync.WaitGroup
	lost := make([]bool, bookings)
	addr := tier.Nodes[0].Addr
	for n := range bookings {
		group.Go(func() { lost[n] = rig.SendNew(tier.Record, addr, call("path-book", 100+n, "booking")).Lost })
	}
	time.Sleep(300 * time.Millisecond)
	operators := call(class, 0, "of an operator")
	operators.Customer = "ironbridge-haul"
	if rig.SendNew(tier.Record, addr, operators).Lost {
		unanswered = append(unanswered, "the call of "+class+" was taken and got no answer")
	}
	group.Wait()
	for n, isLost := range lost {
		if isLost {
			unanswered = append(unanswered, fmt.Sprintf("booking %d was taken and got no answer", n))
		}
	}
	return unanswered
}
