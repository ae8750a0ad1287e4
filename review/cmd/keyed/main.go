// Command keyed plays answers that break off, for calls of a class with an idempotency key, and
// looks whether a call runs twice. Some of the calls come from clients, some by signed webhooks.
package main

import (
	"fmt"
	"sync"
	"time"

	"oakthread/review/stage"
)

const (
	rate     = 20                     // calls of clients a second
	messages = 24                     // webhooks
	interval = 400 * time.Millisecond // between two webhooks
	keyed    = "annotation-save"
	cutEvery = 6 // of the calls of the class that come to a worker for the first time
)

func main() { stage.Run(play) }

// settings returns the settings: three classes, one with a key that the workers of a hall know for
// 8 s; never two attempts at once; no messages between dispatchers.
func settings() map[string]any {
	settings := stage.Settings()
	settings["categories"] = []map[string]any{
		class("parcel-view", 800*time.Millisecond, 5*time.Second, "read_like", "all"),
		class(keyed, 500*time.Millisecond, 4*time.Second, "idempotency_key", "zone"),
		class("survey-submit", 1500*time.Millisecond, 6*time.Second, "non_idempotent", "all"),
	}
	settings["zones"] = halls
	rules, _ := settings["rules"].(map[string]any)
	rules["drain_grace_ns"] = 250 * time.Millisecond
	permissions, _ := settings["permissions"].(map[string]any)
	permissions["second_copies"], permissions["peers"], permissions["send_cap"] = false, false, 6
	return settings
}

// class returns the settings of a class.
func class(name string, aim, giveUp time.Duration, idempotency, scope string) map[string]any {
	return map[string]any{
		"name": name, "aim_ns": aim, "give_up_ns": giveUp, "credit": 3, "late_worth": 0.1,
		"idempotency": idempotency, "key_scope": scope, "window_ns": 8 * time.Second,
	}
}

var halls = []string{"hall-a", "hall-b"}

// play runs the case. Without the disruption all answers arrive.
func play(s *stage.Stage) (broken bool, err error) {
	site, err := s.Lay(stage.Plan{
		Settings: settings(), Zones: halls, Workers: 12, Work: 120 * time.Millisecond, Notify: "survey-submit",
	})
	if err != nil {
		return false, err
	}
	if s.Trouble {
		cuts := newCutter()
		for _, worker := range site.Workers {
			worker.Cuts = cuts.next
		}
	}
	if _, err := site.Start("dispatcher"); err != nil {
		return false, err
	}
	clients := s.NewClients(site.Config.Listen)
	clients.Keyed = keyed
	var senders sync.WaitGroup
	senders.Go(func() {
		time.Sleep(2 * time.Second)
		for i := range messages {
			senders.Go(func() { s.SendMessage(site.Webhooks, fmt.Sprintf("m%d", i), keyed) })
			time.Sleep(interval)
		}
	})
	clients.Send([]string{"parcel-view", keyed, "survey-submit"}, rate, 2*time.Second+(messages+2)*interval)
	senders.Wait()
	clients.Wait()
	return judge(s, site.Workers), nil
}

// cutter chooses the calls whose connections break off.
type cutter struct {
	mu    sync.Mutex
	known map[string]bool // calls that have come before
	count int
}

func newCutter() *cutter { return &cutter{known: map[string]bool{}} }

// next reports whether the connection of a call breaks off before its answer: one in cutEvery of the
// class, at its first attempt.
func (c *cutter) next(call stage.Received) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Class != keyed || c.known[call.CallID] {
		return false
	}
	c.known[call.CallID] = true
	c.count++
	return c.count%cutEvery == 0
}

// judge reports whether a call ran more than once at the workers of a hall, which drop the repeats
// of a key, or in both halls.
func judge(s *stage.Stage, workers []*stage.Worker) (broken bool) {
	runs, keys := map[string]int{}, map[string]string{}
	cut, dropped := 0, 0
	for _, worker := range workers {
		for _, call := range worker.Received() {
			s.Note("worker %s in %s at %.3f: call %s %s key %q dropped %v cut %v", worker.ID, worker.Zone,
				s.Since(call.At), call.CallID, call.Class, call.Key, call.Dropped, call.Cut)
			if call.Cut {
				cut++
			}
			if call.Dropped {
				dropped++
			}
			if call.Class == keyed && !call.Dropped {
				runs[call.CallID]++
				keys[call.CallID] = call.Key
			}
		}
	}
	twice := 0
	for id, count := range runs {
		if count > 1 {
			twice++
			s.Note("BROKEN: call %s of %s ran %d times, key %q", id, keyed, count, keys[id])
		}
	}
	s.Note("calls of %s: %d; answers cut: %d; repeats dropped by their key: %d; calls that ran more than once: %d",
		keyed, len(runs), cut, dropped, twice)
	return twice > 0
}
