package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["late-notice"] = lateNotice }

// lateNotice restarts the dispatcher as planned while bookings are in flight: SIGTERM, its end, a
// new start with the same state file. Without trouble nothing is restarted. The operator must be
// told of every booking that was answered.
func lateNotice(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const bookings = 8
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
	node := tier.Nodes[0]
	if err := node.WriteWebhooks("notify = ['path-book']", "ironbridge-haul", receiver.URL); err != nil {
		return nil, err
	}
	processes, err := tier.StartAll()
	if err != nil {
		return nil, err
	}
	answers := make([]rig.Answer, bookings)
	var group sync.WaitGroup
	for n := range bookings {
		group.Go(func() {
			booking := call("path-book", n, "booking")
			booking.Customer = "ironbridge-haul"
			answers[n] = rig.SendNew(record, node.Addr, booking)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		processes[0].Signal(syscall.SIGTERM)
	}
	group.Wait()
	if trouble {
		if !processes[0].WaitEnded(4 * time.Second) {
			return nil, fmt.Errorf("the dispatcher has not ended 4 s after SIGTERM")
		}
		if _, err := node.Start("n0 again"); err != nil {
			return nil, err
		}
		if err := node.WaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(20 * time.Second) // four times the wait before a second delivery
	notices := receiver.Notices()
	for n, answer := range answers {
		if _, told := notices[answer.ID]; answer.Status == 200 && !told {
			broken = append(broken, fmt.Sprintf("booking %d (%s) was served and its operator never told", n, answer.ID))
		}
	}
	return broken, nil
}
