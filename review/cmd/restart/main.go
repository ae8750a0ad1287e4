// Command restart plays a planned restart (SIGTERM) under calls of a class whose settlements are
// notified, and looks whether the operators' system learns of every call that was answered.
package main

import (
	"errors"
	"syscall"
	"time"

	"oakthread/review/stage"
)

const (
	rate     = 30               // calls a second
	notified = "path-book"      // class whose settlements are notified
	patience = 12 * time.Second // time for the notifications, after the last answer and the restart
)

func main() { stage.Run(play) }

// play runs the case. Without the disruption nothing is restarted.
func play(s *stage.Stage) (broken bool, err error) {
	site, err := s.Lay(stage.Plan{
		Settings: stage.Settings(), Zones: stage.Zones, Workers: 10, Work: 200 * time.Millisecond, Notify: notified,
	})
	if err != nil {
		return false, err
	}
	dispatcher, err := site.Start("first")
	if err != nil {
		return false, err
	}
	clients := s.NewClients(site.Config.Listen)
	classes := []string{"path-check", "route-price", notified}
	clients.Send(classes, rate, 5*time.Second)
	if s.Trouble {
		dispatcher.Signal(syscall.SIGTERM)
	}
	clients.Send(classes, rate, 300*time.Millisecond)
	calls := clients.Wait()
	if s.Trouble {
		if !dispatcher.AwaitEnd(6 * time.Second) {
			return false, errors.New("the first process has not ended")
		}
		if _, err := site.Start("second"); err != nil {
			return false, err
		}
	}
	return judge(s, site.Receiver, calls), nil
}

// judge reports whether a call of the notified class that was answered 200 has not been notified in
// time.
func judge(s *stage.Stage, receiver *stage.Receiver, calls []*stage.Call) (broken bool) {
	var booked []*stage.Call
	for _, call := range calls {
		if call.Class == notified && call.Status == 200 {
			booked = append(booked, call)
		}
	}
	for end := time.Now().Add(patience); time.Now().Before(end) && receiver.Count() < len(booked); {
		time.Sleep(100 * time.Millisecond)
	}
	missing := 0
	for _, call := range booked {
		if !receiver.Has(call.ID) {
			missing++
			s.Note("BROKEN: call %s of %s was answered 200, and no notification of it came", call.ID, notified)
		}
	}
	s.Note("calls %d, of %s answered 200: %d, not notified: %d", len(calls), notified, len(booked), missing)
	return missing > 0
}
