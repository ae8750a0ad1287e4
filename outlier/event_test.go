package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEventTextsInTheLog checks the texts that operators search for.
func TestEventTextsInTheLog(t *testing.T) {
	for _, c := range []struct {
		event Event
		text  string
	}{
		{Event{}, ""},
		{Event{Kind: EventEjectedFailing, FailurePercent: 63}, "ejected: 63% of late calls failed"},
		{Event{Kind: EventEjectedUnreachable}, "ejected: it cannot be reached"},
		{
			Event{Kind: EventZonePartitioned, Zone: 2, Unreachable: 3},
			"ejected with zone 2, which is cut off: 3 executors in a row cannot be reached",
		},
		{
			Event{Kind: EventEjectedByGossip, Agreeing: 3, Observers: 4},
			"left out by words: 3 of 4 observers were not served",
		},
		{Event{Kind: EventRestoredServing, FailurePercent: 34}, "back: 34% of late calls failed"},
		{Event{Kind: EventRestoredReachable}, "back: it can be reached"},
		{Event{Kind: EventZoneRestored, Zone: 2}, "back, and with it zone 2: it can be reached"},
		{
			Event{Kind: EventRestoredByGossip, Agreeing: 2, Observers: 3},
			"back by words: 2 of 3 observers were served",
		},
	} {
		assert.Equal(t, c.text, c.event.String())
		assert.Equal(t, c.text == "", c.event.IsZero())
	}
}

// TestStatusTextsOnTheConsole checks the texts that the console and the CLI show.
func TestStatusTextsOnTheConsole(t *testing.T) {
	for status, text := range []string{"well", "suspect", "left out", "on trial"} {
		assert.Equal(t, text, Status(status).String())
	}
}
