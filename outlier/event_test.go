package outlier

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEventTextsInTheLog(t *testing.T) {
	for want, event := range map[string]Event{
		"":                                  {},
		"ejected: 63% of late calls failed": {Kind: EventEjectedFailing, FailurePercent: 63},
		"ejected: it cannot be reached":     {Kind: EventEjectedUnreachable},
		"ejected with zone 2, which is cut off: 3 executors in a row cannot be reached": {Kind: EventZonePartitioned, Zone: 2, Unreachable: 3},
		"left out by words: 3 of 4 observers were not served":                           {Kind: EventEjectedByGossip, Agreeing: 3, Observers: 4},
		"back: 34% of late calls failed":                                                {Kind: EventRestoredServing, FailurePercent: 34},
		"back: it can be reached":                                                       {Kind: EventRestoredReachable},
		"back, and with it zone 2: it can be reached":                                   {Kind: EventZoneRestored, Zone: 2},
		"back by words: 2 of 3 observers were served":                                   {Kind: EventRestoredByGossip, Agreeing: 2, Observers: 3},
	} {
		assert.Equal(t, want, event.String())
		assert.Equal(t, want == "", event.IsZero())
	}
}

// The console and the CLI show these words.
func TestStatusTextsAtTheConsole(t *testing.T) {
	for status, want := range []string{"well", "suspect", "left out", "on trial"} {
		assert.Equal(t, want, Status(status).String())
	}
}
