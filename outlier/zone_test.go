package outlier

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestZonePartitionAndRecovery checks that a zone is considered partitioned after three consecutive
// unreachable workers, that it then gets one trial at a time at growing intervals, and that one
// response restores all workers except those that were unreachable before.
func TestZonePartitionAndRecovery(t *testing.T) {
	d := New(objective, true)
	var workers [8]Stats
	unreachableBefore := &workers[7]
	d.RecordUnreachable(0, 0, unreachableBefore, 1)
	d.RecordResponse(10*ms, &workers[0], 1)
	for i, now := range []int64{1000 * ms, 1010 * ms, 1020 * ms} {
		assert.False(t, d.ZonePartitioned(1))
		d.RecordUnreachable(now, now-250*ms, &workers[i], 1)
	}
	assert.True(t, d.ZonePartitioned(1))
	assert.False(t, d.ZonePartitioned(0), "the other zone is not affected")
	trials, tried := 0, map[int]bool{}
	for now := 1020 * ms; now < 7000*ms; now += 10 * ms {
		for i := range workers {
			if d.TrialDue(now, &workers[i], 1) {
				d.TrialStarted(now, &workers[i], 1)
				d.RecordUnreachable(now+250*ms, now, &workers[i], 1)
				trials++
				tried[i] = true
				break
			}
		}
	}
	assert.LessOrEqual(t, trials, 7, "trials in six seconds")
	assert.GreaterOrEqual(t, len(tried), 4, "workers tried in turn")
	assert.Contains(t, d.RecordResponse(7000*ms, &workers[4], 1).String(), "zone 1")
	for i := range workers[:7] {
		assert.False(t, d.Ejected(&workers[i], 1), i)
		assert.Zero(t, d.FailureRate(7000*ms, &workers[i]))
	}
	assert.Empty(t, d.RecordUnreachable(7100*ms, 6900*ms, &workers[5], 1), "sent before the partition ended")
	assert.False(t, d.Ejected(&workers[5], 1))
}

// TestUnreachableWorkersAmongResponsesAreNoPartition checks that a zone is not considered
// partitioned while other workers respond in between.
func TestUnreachableWorkersAmongResponsesAreNoPartition(t *testing.T) {
	d := New(objective, true)
	workers := make([]Stats, 30)
	for i := range 200 {
		now := int64(i) * 20 * ms
		if stats := &workers[i%len(workers)]; i%5 < 2 {
			d.RecordUnreachable(now, now-5*ms, stats, 0)
		} else {
			d.RecordResponse(now, stats, 0)
		}
		assert.False(t, d.ZonePartitioned(0))
	}
}

// TestZoneInvariantsUnderAnyEvents checks for any order of events that only unreachable workers
// cause a zone to be considered partitioned, that one response ends the partition and the
// unreachability of its worker, and that the time until the next trial is bounded.
func TestZoneInvariantsUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(objective, rapid.Bool().Draw(t, "per zone"))
		workers := make([]Stats, 6)
		unreachable := [2]map[int]bool{{}, {}}
		now := int64(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 600).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 5).Draw(t, "worker")
			stats, zoneID := &workers[i], i%2
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				d.RecordUnreachable(now, now-int64(rapid.IntRange(0, 800).Draw(t, "sent"))*ms, stats, zoneID)
				unreachable[zoneID][i] = true
			case 1:
				d.RecordFailure(now, stats, WeightFailure)
			case 2:
				event := d.RecordResponse(now, stats, zoneID)
				clear(unreachable[zoneID])
				if d.perZone && (d.ZonePartitioned(zoneID) || stats.unreachable) {
					t.Fatal("it responded, but it or its zone is still considered unreachable")
				}
				if !event.IsZero() && !strings.Contains(event.String(), "back") {
					t.Fatal(event)
				}
			case 3:
				d.RecordSuccess(now, stats)
			case 4:
				if d.TrialDue(now, stats, zoneID) {
					d.TrialStarted(now, stats, zoneID)
				}
			}
			if d.ZonePartitioned(zoneID) && len(unreachable[zoneID]) < partitionThreshold {
				t.Fatalf("zone %d is partitioned after %d unreachable workers", zoneID, len(unreachable[zoneID]))
			}
			if rate := d.FailureRate(now, stats); rate < 0 || rate > 1 {
				t.Fatalf("failure rate %v is not between 0 and 1", rate)
			}
			latest := now + maxEjectionFactor*objective
			if d.Ejected(stats, zoneID) && !d.ZonePartitioned(zoneID) && !d.TrialDue(latest, stats, zoneID) {
				t.Fatal("no trial within the maximum interval")
			}
		}
		partitions := 0
		for zoneID := range 2 {
			if d.ZonePartitioned(zoneID) != d.zone(zoneID).partitioned {
				t.Fatalf("zone %d: partitioned is %v", zoneID, d.ZonePartitioned(zoneID))
			}
			if !d.ZonePartitioned(zoneID) {
				continue
			}
			partitions++
			due := false
			for i := zoneID; i < 6; i += 2 {
				due = due || d.TrialDue(now+2*maxEjectionFactor*objective, &workers[i], zoneID)
			}
			if !due {
				t.Fatal("a partitioned zone gets no trial")
			}
		}
		if partitions != d.partitions {
			t.Fatalf("%d zones are partitioned, but the count is %d", partitions, d.partitions)
		}
	})
}
