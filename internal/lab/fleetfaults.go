package lab

import (
	"slices"
	"time"

	"oakthread/balancer"
	"oakthread/endpoints"
)

// notifyAll publishes the list to all dispatchers at the same moment: the worst case, as all of
// them react at once.
func (w *simWorld) notifyAll() {
	w.cursor++
	u := endpoints.Update{Full: true, Cursor: w.cursor, Endpoints: slices.Clone(w.listed)}
	for _, node := range w.nodes {
		node.list.HandleUpdate(w.now, u)
		node.flush()
	}
}

// fleetGroups are the workers that a run compares: those that started during it, and the others.
type fleetGroups struct{ started, stayed []*simWorker }

// fleetSim simulates one fault. The same seed gives the same run.
func fleetSim(
	figures *Figures, kind string, dispatchers, workers int, messages bool, seed uint64,
) (*fleetResult, error) {
	w, err := fleetWorld(figures, dispatchers, workers, messages, 0, seed)
	if err != nil {
		return nil, err
	}
	groups := &fleetGroups{}
	switch kind {
	case "join":
		w.scheduleJoin(groups)
	case "fails":
		w.scheduleFailure()
	case "split", "parted":
		w.scheduleSplit(kind)
	case "zone":
		w.scheduleZone(groups)
	}
	w.run(w.began.Add(fleetWarm + fleetFault + fleetWatch + fleetEnd))
	return w.fleetResult(groups.started, groups.stayed, w.began), nil
}

// scheduleJoin replaces six workers in ten one after the other within the time of the fault.
func (w *simWorld) scheduleJoin(groups *fleetGroups) {
	workers := len(w.workers)
	replaced := workers * 6 / 10
	groups.stayed = w.workers[replaced:]
	for i, old := range w.workers[:replaced] {
		w.at(w.began.Add(fleetWarm+fleetFault*time.Duration(i)/time.Duration(replaced)), func() {
			worker := w.add(workers+i, w.now)
			groups.started = append(groups.started, worker)
			w.listed = append(w.listed, endpoints.Endpoint{
				ID: worker.id, Zone: i % 2, State: balancer.Active, Weight: 2, Start: w.now,
			})
			w.listed[i].State = balancer.Draining
			old.model.Drain()
			old.drained = w.now.Add(notifyDelay)
			w.after(notifyDelay, w.notifyAll)
		})
	}
}

// scheduleFailure makes the first worker fail at once for the time of the fault, and records when
// nine in ten dispatchers avoid it.
func (w *simWorld) scheduleFailure() {
	w.at(w.began.Add(fleetWarm), func() { w.workers[0].failing = true })
	w.at(w.began.Add(fleetWarm+fleetFault), func() { w.workers[0].failing = false })
	w.detectionTime = fleetFault.Seconds()
	for at := failCheckInterval; at < fleetFault; at += failCheckInterval {
		w.at(w.began.Add(fleetWarm+at), func() {
			if w.detectionTime > at.Seconds() && 10*w.countAvoiding(w.workers[0].id) >= 9*len(w.nodes) {
				w.detectionTime = at.Seconds()
			}
		})
	}
}

// scheduleSplit loses all messages for splitFor, and with them the links to every fifth worker
// ("split") or to the workers of the other zone ("parted").
func (w *simWorld) scheduleSplit(kind string) {
	w.at(w.began.Add(fleetWarm), func() {
		w.allLost, w.answerLoss, w.zonesSplit = true, splitLost, kind == "parted"
		for i, worker := range w.workers {
			if kind == "split" && i%5 == 0 {
				worker.fault = faultCutOff
			}
		}
	})
	w.at(w.began.Add(fleetWarm+splitFor), func() {
		w.allLost, w.answerLoss, w.zonesSplit = false, 0, false
		for _, worker := range w.workers {
			worker.fault = faultNone
		}
	})
}

// scheduleZone cuts off every second worker for zoneOutage; they return not warmed up, and
// dispatchers are notified of that late.
func (w *simWorld) scheduleZone(groups *fleetGroups) {
	const zoneOutage = 5 * time.Second
	for i, worker := range w.workers {
		if i%2 == 1 {
			groups.stayed = append(groups.stayed, worker)
			continue
		}
		groups.started = append(groups.started, worker)
		w.at(w.began.Add(fleetWarm), func() { worker.fault = faultCutOff })
		w.at(w.began.Add(fleetWarm+zoneOutage), func() {
			worker.fault, worker.model = faultNone, NewWorkerModel(w.f.Worker, w.now)
			w.listed[i].Start = w.now
		})
	}
	w.at(w.began.Add(fleetWarm+zoneOutage+notifyDelay), func() {
		for _, worker := range groups.started { // no dispatcher knew that it was warming up, so this breaks no rule
			worker.unnotified = worker.model.Collapsed()
		}
		w.notifyAll()
	})
}
