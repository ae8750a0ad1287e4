package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"oakthread/balancer"
	"oakthread/internal/wire"
)

// readBufferSize is the size of the input buffer in bytes. Lines of long endpoint lists fit into
// it.
const readBufferSize = 1 << 20

// session is the state of one connection to the simulator.
type session struct {
	now       int64 // simulated time in nanoseconds
	instances map[string]*instance
	lists     map[int][]balancer.Endpoint // endpoint lists by their number on the wire
	reply     wire.Writer                 // actions that have not been written yet
}

// serve handles the events of in until its end. It writes the resulting actions to out at the end
// of each turn of the simulator. Errors of events name the line number.
func serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	s := &session{instances: map[string]*instance{}, lists: map[int][]balancer.Endpoint{}}
	for line := 1; ; line++ {
		text, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(bytes.Trim(text, " \n\r\t")) == 0 {
			continue
		}
		event, err := wire.Decode(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if _, ok := event.(*wire.OverToYou); ok {
			if err := s.yield(out); err != nil {
				return err
			}
			continue
		}
		if err := s.handle(event); err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
	}
}

// yield writes the actions since the previous yield to out and returns the turn to the simulator.
func (s *session) yield(out io.Writer) error {
	s.reply.Yield()
	_, err := out.Write(s.reply.Buf)
	s.reply.Buf = s.reply.Buf[:0]
	return err
}

// handle passes an event to its handler. Unknown events are ignored.
func (s *session) handle(event any) error {
	switch e := event.(type) {
	case *wire.Clock:
		return s.handleClock(e)
	case *wire.DefineList:
		return s.handleEndpointList(e)
	case *wire.Boot:
		return s.handleBoot(e)
	case *wire.Killed:
		delete(s.instances, e.Who)
		return nil
	case *wire.Sync:
		return s.handleEndpointUpdate(e)
	case *wire.Demand:
		return s.handleRequest(e)
	case *wire.Bell:
		return s.handleTimer(e)
	case *wire.FirstByte:
		return s.handleFirstByte(e)
	case *wire.AttemptEnd:
		return s.handleAttemptResult(e)
	case *wire.Pong:
		return s.handleHealthCheck(e)
	case *wire.NoteFrom:
		return s.handlePeerMessage(e)
	case *wire.Warmed:
		return s.handleLoadResult(e)
	case *wire.Vanished:
		return s.handleClientGone(e)
	}
	return nil
}

// balancer returns the balancer of the named instance.
func (s *session) balancer(name string) (*balancer.Balancer, error) {
	if i := s.instances[name]; i != nil {
		return i.balancer, nil
	}
	return nil, fmt.Errorf("field who: unknown instance %q", name)
}
