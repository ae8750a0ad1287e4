package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// someBookings is the number of bookings that must be served between two steps of an upgrade.
const someBookings = 25

// Guards against upgrades in which a version cannot start, resets clients, runs a booking twice or
// tells nobody of it. Real processes replace each other in several orders, under load.
func TestUpgradesKeepTheRules(t *testing.T) {
	upgrade := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		r.awaitServed(someBookings)
		second := r.startProcess()
		r.awaitServed(someBookings)
		first.signal(syscall.SIGTERM)
		first.awaitEnd()
		r.awaitServed(someBookings)
		r.check()
		second.signal(syscall.SIGTERM)
		second.awaitEnd()
	}
	rollback := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		second := r.startProcess()
		r.awaitServed(someBookings)
		second.signal(syscall.SIGTERM)
		second.awaitEnd()
		r.awaitServed(someBookings)
		r.check()
		first.signal(syscall.SIGTERM)
		first.awaitEnd()
	}
	chain := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		second := r.startProcess()
		r.awaitServed(someBookings)
		first.signal(syscall.SIGTERM)
		third := r.startProcess()
		second.signal(syscall.SIGTERM) // while it takes over
		first.awaitEnd()
		second.awaitEnd()
		r.awaitServed(someBookings)
		r.check()
		third.signal(syscall.SIGTERM)
		third.awaitEnd()
	}
	startedInDrain := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		r.awaitServed(someBookings)
		first.signal(syscall.SIGTERM)
		first.await("drain started")
		second := r.startProcess()
		first.awaitEnd()
		r.awaitServed(someBookings)
		r.check()
		second.signal(syscall.SIGTERM)
		second.awaitEnd()
	}
	killedFirst := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		second := r.startProcess()
		r.awaitServed(someBookings)
		first.kill()
		r.awaitServed(someBookings)
		r.stopClients()
		r.checkRuns()
		second.signal(syscall.SIGTERM)
		second.awaitEnd()
	}
	killedInDrain := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		second := r.startProcess()
		r.awaitServed(someBookings)
		first.signal(syscall.SIGTERM)
		first.await("drain started")
		first.kill()
		r.awaitServed(someBookings)
		r.stopClients()
		r.checkRuns()
		second.signal(syscall.SIGTERM)
		second.awaitEnd()
	}
	nextKilledInDrain := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		second := r.startProcess()
		r.awaitServed(someBookings)
		first.signal(syscall.SIGTERM)
		first.await("drain stopped accepting") // the second has the turn
		second.kill()
		third := r.startProcess()
		first.awaitEnd()
		r.awaitServed(someBookings)
		r.stopClients()
		r.checkRuns()
		third.signal(syscall.SIGTERM)
		third.awaitEnd()
	}
	reloaded := func(r *upgradeRig) {
		first := r.startProcess()
		r.startClients()
		second := r.startProcess()
		r.configure(`"non_idempotent"`)
		for _, process := range []*upgradeProcess{second, first} {
			process.signal(syscall.SIGHUP)
			process.await("configuration reloaded")
		}
		r.awaitServed(someBookings)
		first.signal(syscall.SIGTERM)
		first.awaitEnd()
		r.awaitServed(someBookings)
		r.check()
		second.signal(syscall.SIGTERM)
		second.awaitEnd()
	}
	for name, play := range map[string]func(*upgradeRig){
		"upgrade": upgrade, "rollback": rollback, "chain of three": chain, "started in the drain": startedInDrain,
		"first killed": killedFirst, "first killed in its drain": killedInDrain,
		"second killed in the drain of the first": nextKilledInDrain, "reloaded meanwhile": reloaded,
	} {
		for _, webhooks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, webhooks %t", name, webhooks), func(t *testing.T) {
				play(newUpgradeRig(t, webhooks))
			})
		}
	}
}

// Guards against bookings that are never told because the process that served them was killed before
// it had the state file: the operator is out of reach meanwhile, so that all are still queued.
func TestBookingsOfKilledNextProcessAreNotified(t *testing.T) {
	r := newUpgradeRig(t, true)
	first := r.startProcess()
	second := r.startProcess()
	r.notificationsRefused.Store(true)
	r.startClients()
	r.awaitServed(2 * someBookings)
	r.stopClients()
	time.Sleep(100 * time.Millisecond) // a process writes what it has answered within some milliseconds
	second.kill()
	r.notificationsRefused.Store(false)
	r.check()
	first.signal(syscall.SIGTERM)
	first.awaitEnd()
}

// Guards against messages that keep the rules of the start: after SIGHUP a webhook of a class that
// must not run twice runs once, also if its connection to the worker is cut.
func TestReloadBindsWebhooks(t *testing.T) {
	r := newUpgradeRig(t, true)
	process := r.startProcess()
	send := func(slot string) int {
		status, err := r.postMessage(slot, time.Now(), r.message("path-check", slot))
		require.NoError(t, err)
		return status
	}
	assert.Equal(t, 200, send("cut 1"))
	assert.Equal(t, 2, r.runsOf("cut 1"), "read_like")
	r.configure(`"non_idempotent"`)
	process.signal(syscall.SIGHUP)
	process.await("configuration reloaded")
	assert.Equal(t, 502, send("cut 2"))
	assert.Equal(t, 1, r.runsOf("cut 2"))
	process.signal(syscall.SIGTERM)
	process.awaitEnd()
}

// Guards against workers that are used again although operators took them out during an upgrade, by
// the consoles of both versions.
func TestWorkersTakenOutInUpgradeStayOut(t *testing.T) {
	r := newUpgradeRig(t, false)
	first := r.startProcess()
	second := r.startProcess()
	r.startClients()
	r.awaitServed(someBookings)
	first.decide("s-1/offline")
	second.decide("s-2/offline")
	const grace = 2*time.Second + 50*time.Millisecond // both processes know, and what was in flight has ended
	out := time.Now()
	time.Sleep(grace)
	r.awaitServed(someBookings)
	first.signal(syscall.SIGTERM)
	first.awaitEnd()
	r.awaitServed(someBookings)
	r.check()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range []string{"s-1", "s-2"} {
		assert.Less(t, r.lastRun[id].Sub(out), grace, id)
	}
	assert.Greater(t, r.lastRun["s-3"].Sub(out), grace)
	second.signal(syscall.SIGTERM)
	second.awaitEnd()
}
