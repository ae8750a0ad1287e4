package platform

import "fmt"

// handleLine handles one line of the channel; first says that it is the first of its connection.
// Events that were already handled are ignored. An error ends the connection: a gap in the numbers
// means that events are missing, which are requested again on a new connection. A gap before the
// first event there is accepted, because discovery no longer has the events in between.
func (w *EndpointWatcher) handleLine(line []byte, first bool, handler EndpointHandler) error {
	event, err := parseEvent(line, w.settings)
	if err != nil {
		return w.handleUnreadable(line, err)
	}
	for _, invalid := range event.Invalid {
		w.log.Error("unusable executor in discovery event", "cursor", event.Cursor, "error", invalid)
	}
	if w.isRestart(event) {
		w.cursor, w.epoch = 0, ""
		handler.HandleWatchReset()
		return errDiscoveryRestarted
	}
	if event.Epoch != "" {
		w.epoch = event.Epoch
	}
	if w.skippedLine && event.Cursor > w.cursor {
		w.skippedLine, first = false, true
		if event.Heartbeat {
			w.cursor = event.Cursor
		}
	}
	if w.hasGapBefore(event, first) {
		return fmt.Errorf("event gap: last handled %d, received %d", w.cursor, event.Cursor)
	}
	if first {
		w.dialer.Succeeded()
	}
	w.deliver(event, handler)
	return nil
}

// handleUnreadable handles a line that cannot be parsed. The connection may have corrupted it, so
// it is requested once more. If it is unreadable again, it is skipped, or no later event would be
// handled.
func (w *EndpointWatcher) handleUnreadable(line []byte, err error) error {
	if w.unreadableLine != string(line) {
		w.unreadableLine = string(line)
		return fmt.Errorf("line %.80q: %w", line, err)
	}
	w.skippedLine = true
	w.log.Error("unreadable discovery event skipped",
		"cursor", w.cursor, "line", fmt.Sprintf("%.80q", line), "error", err)
	return nil
}

// isRestart reports whether discovery has restarted since a list was stored: its last event number
// is lower than that of the last event handled, or its epoch differs.
func (w *EndpointWatcher) isRestart(event Event) bool {
	if !w.persistent {
		return false
	}
	lowerNumber := event.Heartbeat && event.Cursor < w.cursor
	otherEpoch := event.Epoch != "" && w.epoch != "" && event.Epoch != w.epoch
	return lowerNumber || otherEpoch
}

// hasGapBefore reports whether events are missing between the last one handled and this one.
func (w *EndpointWatcher) hasGapBefore(event Event, first bool) bool {
	if event.Heartbeat {
		return event.Cursor > w.cursor
	}
	return !first && event.Cursor > w.cursor+1
}

// deliver passes an event to the handler, unless the event was already handled.
func (w *EndpointWatcher) deliver(event Event, handler EndpointHandler) {
	if event.Heartbeat {
		if event.Cursor == w.cursor {
			handler.HandleHeartbeat()
		}
		return
	}
	if event.Cursor <= w.cursor {
		return
	}
	w.cursor = event.Cursor
	if event.HasUpdate {
		handler.HandleUpdate(event.Update, w.epoch, w.cursor)
	}
}
