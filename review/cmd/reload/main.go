// Command reload plays a SIGHUP that adds a class, with the webhook front on, and looks whether the
// dispatcher goes on and answers all calls.
package main

import (
	"syscall"
	"time"

	"oakthread/review/stage"
)

const (
	rate     = 30 // calls a second
	newClass = "route-plan"
)

func main() { stage.Run(play) }

// play runs the case. Without the disruption the class is in the settings from the start.
func play(s *stage.Stage) (broken bool, err error) {
	site, err := s.Lay(stage.Plan{
		Settings: stage.Settings(), Zones: stage.Zones, Workers: 10, Work: 120 * time.Millisecond, Notify: "path-book",
	})
	if err != nil {
		return false, err
	}
	if !s.Trouble {
		stage.AddClass(site.Config.Settings, newClass)
	}
	dispatcher, err := site.Start("dispatcher")
	if err != nil {
		return false, err
	}
	clients := s.NewClients(site.Config.Listen)
	classes := []string{"path-check", "route-price", "path-book"}
	clients.Send(classes, rate, 4*time.Second)
	if s.Trouble {
		stage.AddClass(site.Config.Settings, newClass)
		if _, err := site.WriteConfig("dispatcher"); err != nil {
			return false, err
		}
		dispatcher.Signal(syscall.SIGHUP)
	}
	clients.Send(classes, rate, 1500*time.Millisecond)
	s.Note("clients name the new class")
	clients.Send(append(classes, newClass), rate, 5*time.Second)
	return judge(s, dispatcher, clients.Wait()), nil
}

// judge reports whether the process has ended by itself or a call got no whole answer.
func judge(s *stage.Stage, dispatcher *stage.Dispatcher, calls []*stage.Call) (broken bool) {
	ended, code := dispatcher.HasEnded()
	if ended {
		s.Note("BROKEN: the dispatcher ended by itself with exit code %d", code)
	}
	unanswered, served := 0, 0
	for _, call := range calls {
		switch call.Status {
		case 0:
			unanswered++
		case 200:
			served++
		}
	}
	s.Note("calls %d, served %d, without a whole answer %d", len(calls), served, unanswered)
	if unanswered > 0 {
		s.Note("BROKEN: calls without a whole answer")
	}
	return ended || unanswered > 0
}
