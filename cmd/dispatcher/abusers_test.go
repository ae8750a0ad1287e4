package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runAsAbusersEnv, if set, makes the binary run clients that do not keep to the protocol, until its
// standard input ends: "ADDRESS|CLIENTS|NAME", with a name of crowds or floods.
const runAsAbusersEnv = "OAKTHREAD_AS_ABUSERS"

// firstAbuserCallID is the first id of their calls, beyond those of the usual clients.
const firstAbuserCallID = 1 << 32

// abusers are clients of one address that do not keep to the protocol.
type abusers struct {
	addr    string
	stop    chan struct{}
	running sync.WaitGroup
	callIDs atomic.Uint64
	answers atomic.Int64
}

// runAbusers runs the clients that description, the value of runAsAbusersEnv, asks for.
func runAbusers(description string) error {
	parts := strings.SplitN(description, "|", 3)
	if len(parts) != 3 {
		return fmt.Errorf("%s=%q: want an address, a number and a name", runAsAbusersEnv, description)
	}
	clients, err := strconv.Atoi(parts[1])
	if err != nil {
		return err
	}
	does := crowds[parts[2]]
	if does == nil {
		does = floods[parts[2]]
	}
	if does == nil {
		return fmt.Errorf("no crowd or flood %q", parts[2])
	}
	a := &abusers{addr: parts[0], stop: make(chan struct{})}
	a.callIDs.Store(firstAbuserCallID)
	for range clients {
		a.running.Go(func() { a.repeat(does) })
	}
	_, err = io.Copy(io.Discard, os.Stdin)
	close(a.stop)
	a.running.Wait()
	fmt.Printf("%d answers to other clients", a.answers.Load())
	return err
}

// repeat does the same with a new connection whenever it has returned, until the clients are stopped.
func (a *abusers) repeat(does abuse) {
	for {
		conn, err := net.DialTimeout("tcp", a.addr, time.Second)
		if err == nil {
			closed := make(chan struct{})
			go func() {
				select {
				case <-a.stop:
					_ = conn.Close()
				case <-closed:
				}
			}()
			does(a, conn)
			close(closed)
			_ = conn.Close()
		}
		select {
		case <-a.stop:
			return
		default:
		}
	}
}

func (a *abusers) newCallID() string { return fmt.Sprintf("%016x", a.callIDs.Add(1)) }

// callHead returns the head of a call without the empty line at its end.
func (a *abusers) callHead(function, class string, contentLength int) string {
	return fmt.Sprintf("POST /call/%s/trigger HTTP/1.1\r\nHost: a\r\nX-Class: %s\r\nX-Call-Id: %s\r\n"+
		"X-Patience-Ms: %d\r\nContent-Length: %d\r\n", function, class, a.newCallID(),
		usualTimeout.Milliseconds(), contentLength)
}

// awaitClose reads a connection until the dispatcher closes it.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// readAnswers reads answers until the connection ends, and calls next, if it is not nil, after each
// one.
func (a *abusers) readAnswers(conn net.Conn, next func() error) {
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		a.answers.Add(1)
		if response.Close || next != nil && next() != nil {
			return
		}
	}
}

// pipeline writes requests without waiting for their answers, until the connection ends.
func (a *abusers) pipeline(conn net.Conn, request func() string) {
	go func() {
		for {
			if _, err := io.WriteString(conn, request()); err != nil {
				return
			}
		}
	}()
	a.readAnswers(conn, nil)
}

// inTurn writes a request as soon as the one before is answered, until the connection ends.
func (a *abusers) inTurn(conn net.Conn, request func() string) {
	next := func() error {
		_, err := io.WriteString(conn, request())
		return err
	}
	if next() == nil {
		a.readAnswers(conn, next)
	}
}
